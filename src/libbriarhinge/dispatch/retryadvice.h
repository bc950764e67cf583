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
class RetryAdvice
{
public:
    /** Time on any monotonic clock. */
    using Time = std::chrono::steady_clock::time_point;

    /** Records that an operation which depends on the faulty component has succeeded. */
    void worked()
    {
        m_since.reset();
    }

    /**
     * Records a failure.
     *
     * @param now time of the failure
     * @return delay after which callers should retry
     */
    base::Milliseconds failed(Time now)
    {
        if (!m_since) {
            m_since = now;
        }
        const auto lasted = std::chrono::duration_cast<base::Milliseconds>(now - *m_since);
        return std::clamp(lasted, shortest, longest);
    }

private:
    /** Callers that retry sooner run into the same fault. */
    static constexpr base::Milliseconds shortest{250};
    /** A third of the shortest timeout that callers use; they do not wait longer. */
    static constexpr base::Milliseconds longest{1000};

    std::optional<Time> m_since;
};

}
