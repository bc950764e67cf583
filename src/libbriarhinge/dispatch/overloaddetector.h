#pragma once

#include "base/units.h"

#include <chrono>

namespace briarhinge::dispatch
{

/**
 * Detects that this process is too slow for its load, for example on a VM that has lost most of its CPU, from how late
 * its timers fire.
 *
 * Reads no clock itself. Not thread-safe.
 */
class OverloadDetector
{
public:
    /** Time on any monotonic clock. */
    using Time = std::chrono::steady_clock::time_point;

    /**
     * Records that a timer has fired.
     *
     * @param delay delay between the due time and the expiry
     * @param now current time
     */
    void recordTimerDelay(base::Milliseconds delay, Time now)
    {
        m_meanDelay += (static_cast<double>(delay.count()) - m_meanDelay) * smoothingFactor;
        if (m_meanDelay > thresholdMs) {
            m_overloadedUntil = now + overloadDuration;
        }
    }

    /**
     * @param now current time
     * @return whether new work should be sent to another entry
     */
    bool isOverloaded(Time now) const
    {
        return now < m_overloadedUntil;
    }

private:
    /** Smoothing factor of the moving average. */
    static constexpr double smoothingFactor = 0.2;
    /**
     * Threshold for the mean timer delay, in milliseconds. A request takes about 30 event loop iterations, each delayed
     * as long as a timer is. A healthy VM shows 0.1 ms under load.
     */
    static constexpr double thresholdMs = 8;
    /**
     * Long enough for the platform to notice: it probes readiness once a second and acts on the second failed probe.
     */
    static constexpr base::Milliseconds overloadDuration{2500};

    double m_meanDelay = 0;
    Time m_overloadedUntil;
};

}
