#pragma once

#include "base/units.h"

#include <chrono>

namespace briarhinge::dispatch
{

/**
 * Recent performance of one runner: its speed relative to other runners, and its failure rate, which may be high
 * although it passes health checks. Old results decay exponentially, so that an avoided runner is tried again.
 *
 * Reads no clock itself. Not thread-safe.
 */
class RunnerPerformance
{
public:
    /** Time on any monotonic clock. */
    using Time = std::chrono::steady_clock::time_point;

    /**
     * Records a response.
     *
     * @param slowness duration of the request, as a multiple of the typical duration
     * @param now current time
     */
    void recordResponse(double slowness, Time now);

    /**
     * Records a failure: the runner responded with an error of its own, the connection broke off, or no response came.
     *
     * @param now current time
     */
    void recordFailure(Time now);

    /**
     * @param now current time
     * @return expected duration of a request, as a multiple of the typical duration
     */
    double slowness(Time now) const;

    /**
     * @param now current time
     * @return expected share of requests that fail, from 0 to 1
     */
    double failureRate(Time now) const;

private:
    double decayFactor(Time now) const;
    void decay(Time now);

    /** Responses including failures, weighted by age. */
    double m_responses = 0;
    double m_slowness = 0;
    double m_failures = 0;
    Time m_decayedAt;
};

}
