#include "dispatch/servicerecord.h"

#include <algorithm>
#include <cmath>

namespace briarhinge::dispatch
{

namespace
{

using Seconds = std::chrono::duration<double>;

/** Faults of runners last some 3 to 12 s; one that is well again should not wait as long once more. */
constexpr Seconds halfLife{2.5};
/** A runner without answers is taken for one with this many usual ones, since single times vary as much as their mean. */
constexpr double assumedAnswers = 2;
/** Share of requests that sound runners of the users fail: 0.01. */
constexpr double assumedFailures = 0.01;
/** Failures are rare: a single one among a few answers may be one of these. */
constexpr double assumedOutcomes = 8;
/** One request that waited behind others must not condemn a runner for long. */
constexpr double mostSlowness = 12;

}

double ServiceRecord::fading(Time now) const
{
    return std::exp2(-std::max(0.0, Seconds(now - m_faded) / halfLife));
}

void ServiceRecord::fade(Time now)
{
    const double left = fading(now);
    m_answers *= left;
    m_slowness *= left;
    m_failures *= left;
    m_faded = std::max(m_faded, now);
}

void ServiceRecord::answered(double slowness, Time now)
{
    fade(now);
    m_answers += 1;
    m_slowness += std::min(slowness, mostSlowness);
}

void ServiceRecord::failed(Time now)
{
    fade(now);
    m_answers += 1;
    m_slowness += 1;
    m_failures += 1;
}

double ServiceRecord::slowness(Time now) const
{
    const double left = fading(now);
    return (assumedAnswers + m_slowness * left) / (assumedAnswers + m_answers * left);
}

double ServiceRecord::failureShare(Time now) const
{
    const double left = fading(now);
    return (assumedOutcomes * assumedFailures + m_failures * left) / (assumedOutcomes + m_answers * left);
}

}
