#pragma once

#include "base/units.h"

#include <algorithm>
#include <chrono>
#include <optional>

namespace briarhinge::dispatch
{

/**
 * Tells callers when to come back after a fault: nobody knows when it ends, but a fault that has lasted a while is
 * likely to last about as long again. Free of clocks; not synchronised.
 */
class RetryAdvice
{
public:
    /** Time on any clock that never goes back. */
    using Time = std::chrono::steady_clock::time_point;

    /** What depends on the fault has worked. */
    void worked()
    {
        m_since.reset();
    }

    /** @param now the time of a failure @return when callers may come back */
    base::Milliseconds failed(Time now)
    {
        if (!m_since) {
            m_since = now;
        }
        const auto lasted = std::chrono::duration_cast<base::Milliseconds>(now - *m_since);
        return std::clamp(lasted, shortest, longest);
    }

private:
    /** Callers that come back sooner only meet the same fault. */
    static constexpr base::Milliseconds shortest{250};
    /** A third of the shortest time that callers have; they don't wait longer. */
    static constexpr base::Milliseconds longest{1000};

    std::optional<Time> m_since;
};

}
