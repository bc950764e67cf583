#pragma once

#include "base/units.h"

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace briarhinge::placement
{

/** Monotonic time used for decisions about calls in flight. */
using SteadyTime = std::chrono::steady_clock::time_point;

/**
 * Tracks whether a runner should get calls, based on its replies and on missing ones. The caller passes the time in;
 * not thread-safe.
 *
 * After a failure the runner is avoided for a backoff that doubles with each consecutive failure. It is then on
 * probation and gets one call at a time until a call makes progress.
 */
class RunnerHealth
{
public:
    /**
     * Records a failed connection or a stalled call.
     *
     * @param now the current time
     */
    void recordFailure(SteadyTime now)
    {
        const auto backoff = std::min(maxBackoff, initialBackoff * (1U << std::min(m_failures, maxBackoffDoublings)));
        ++m_failures;
        m_backoffEnd = std::max(m_backoffEnd, now + backoff);
    }

    /**
     * Records that the runner refused a call.
     *
     * @param now the current time
     * @param retryAfter delay after which the runner may accept a call again, in milliseconds
     */
    void recordRefusal(SteadyTime now, base::Milliseconds retryAfter)
    {
        m_failures = std::max<std::uint32_t>(m_failures, 1);
        m_backoffEnd = std::max(m_backoffEnd, now + std::min(maxBackoff, retryAfter));
    }

    /** Records that a call made progress on the runner, which resets the failure count. */
    void recordProgress()
    {
        m_failures = 0;
        m_backoffEnd = {};
    }

    /**
     * @param now the current time
     * @param outstanding calls in flight on the runner
     * @return whether calls should be placed on other runners
     */
    bool isAvoided(SteadyTime now, std::uint32_t outstanding) const
    {
        return m_failures > 0 && (now < m_backoffEnd || outstanding > 0);
    }

    /** @return whether the runner failed and no call has made progress since */
    bool isOnProbation() const
    {
        return m_failures > 0;
    }

    /** @return the time at which the backoff ends */
    SteadyTime backoffEnd() const
    {
        return m_backoffEnd;
    }

private:
    static constexpr base::Milliseconds initialBackoff{200};
    static constexpr base::Milliseconds maxBackoff{5000};
    static constexpr std::uint32_t maxBackoffDoublings = 10;

    std::uint32_t m_failures = 0;
    SteadyTime m_backoffEnd;
};

}
