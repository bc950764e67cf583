#include "dispatch/runnerperformance.h"

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
constexpr double priorResponses = 2;
/** Failure rate of the users' healthy runners: 0.01. */
constexpr double priorFailureRate = 0.01;
/**
 * Weight of the prior failure rate, in requests. Failures are rare, and a single one among a few responses may be one
 * of these normal failures.
 */
constexpr double priorOutcomes = 8;
/**
 * Caps the effect of a single request, so that one that was queued behind others does not exclude a runner for long.
 */
constexpr double maxSlowness = 12;

}

double RunnerPerformance::decayFactor(Time now) const
{
    return std::exp2(-std::max(0.0, Seconds(now - m_decayedAt) / halfLife));
}

void RunnerPerformance::decay(Time now)
{
    const double factor = decayFactor(now);
    m_responses *= factor;
    m_slowness *= factor;
    m_failures *= factor;
    m_decayedAt = std::max(m_decayedAt, now);
}

void RunnerPerformance::recordResponse(double slowness, Time now)
{
    decay(now);
    m_responses += 1;
    m_slowness += std::min(slowness, maxSlowness);
}

void RunnerPerformance::recordFailure(Time now)
{
    decay(now);
    m_responses += 1;
    m_slowness += 1;
    m_failures += 1;
}

double RunnerPerformance::slowness(Time now) const
{
    const double factor = decayFactor(now);
    return (priorResponses + m_slowness * factor) / (priorResponses + m_responses * factor);
}

double RunnerPerformance::failureRate(Time now) const
{
    const double factor = decayFactor(now);
    return (priorOutcomes * priorFailureRate + m_failures * factor) / (priorOutcomes + m_responses * factor);
}

}
