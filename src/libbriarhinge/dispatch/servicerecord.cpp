#include "dispatch/servicerecord.h"

#include <algorithm>
#include <cmath>

namespace briarhinge::dispatch
{

namespace
{

using Seconds = std::chrono::duration<double>;

/** Runner faults last about 3 to 12 s; a runner that has recovered should not be avoided for as long again. */
constexpr Seconds halfLife{2.5};
/**
 * Weight of the prior, in typical responses: single durations vary as much as their mean, so one response says little.
 */
constexpr double assumedAnswers = 2;
/** Failure rate of the users' healthy runners: 0.01. */
constexpr double assumedFailures = 0.01;
/**
 * Weight of the prior failure rate, in requests. Failures are rare, and a single one among a few responses may be one
 * of these normal failures.
 */
constexpr double assumedOutcomes = 8;
/**
 * Caps the effect of a single request, so that one that was queued behind others does not exclude a runner for long.
 */
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
