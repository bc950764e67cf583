#pragma once

#include "base/units.h"

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace briarhinge::placement
{

/** Time of decisions about running calls; never goes back. */
using SteadyTime = std::chrono::steady_clock::time_point;

/**
 * Whether a runner is fit for calls, as seen from its answers and from their absence. Free of clocks; not synchronised.
 *
 * After a failure it is avoided for a time that doubles with each further one. Then it is on probation: one call at a
 * time, until one makes progress.
 */
class RunnerHealth
{
public:
    /** The connection failed, or a call stood still there. @param now the time */
    void failed(SteadyTime now)
    {
        const auto pause = std::min(longestPause, firstPause * (1U << std::min(m_failures, mostDoublings)));
        ++m_failures;
        m_avoidedUntil = std::max(m_avoidedUntil, now + pause);
    }

    /** It refused a call. @param now the time @param retryAfter when it may take one again */
    void refused(SteadyTime now, base::Milliseconds retryAfter)
    {
        m_failures = std::max<std::uint32_t>(m_failures, 1);
        m_avoidedUntil = std::max(m_avoidedUntil, now + std::min(longestPause, retryAfter));
    }

    /** A call made progress there. */
    void progressed()
    {
        m_failures = 0;
        m_avoidedUntil = {};
    }

    /** @param now the time @param outstanding calls under way there @return whether calls should go elsewhere */
    bool isAvoided(SteadyTime now, std::uint32_t outstanding) const
    {
        return m_failures > 0 && (now < m_avoidedUntil || outstanding > 0);
    }

    /** @return whether it failed and has not made progress since */
    bool isOnProbation() const
    {
        return m_failures > 0;
    }

    /** @return when it is tried again */
    SteadyTime avoidedUntil() const
    {
        return m_avoidedUntil;
    }

private:
    static constexpr base::Milliseconds firstPause{200};
    static constexpr base::Milliseconds longestPause{5000};
    static constexpr std::uint32_t mostDoublings = 10;

    std::uint32_t m_failures = 0;
    SteadyTime m_avoidedUntil;
};

}
