#pragma once

#include "base/units.h"

#include <algorithm>
#include <chrono>
#include <optional>

namespace briarhinge::dispatch
{

/**
 * Computes the retry delay that callers are given during a fault. The end of a fault is unknown, but one that has
 * lasted for some time is likely to last about as long again.
 *
 * Reads no clock itself. Not thread-safe.
 */
class RetryDelay
{
public:
    /** Time on any monotonic clock. */
    using Time = std::chrono::steady_clock::time_point;

    /** Records that an operation which depends on the faulty component has succeeded. */
    void recordSuccess()
    {
        m_faultSince.reset();
    }

    /**
     * Records a failure.
     *
     * @param now time of the failure
     * @return delay after which callers should retry
     */
    base::Milliseconds recordFailure(Time now)
    {
        if (!m_faultSince) {
            m_faultSince = now;
        }
        const auto duration = std::chrono::duration_cast<base::Milliseconds>(now - *m_faultSince);
        return std::clamp(duration, minDelay, maxDelay);
    }

private:
    /** Callers that retry sooner run into the same fault. */
    static constexpr base::Milliseconds minDelay{250};
    /** A third of the shortest timeout that callers use; they do not wait longer. */
    static constexpr base::Milliseconds maxDelay{1000};

    std::optional<Time> m_faultSince;
};

}
