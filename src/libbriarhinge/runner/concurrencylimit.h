#pragma once

#include "base/units.h"

#include <cstddef>
#include <cstdint>

namespace briarhinge::runner
{

/** Bounds and targets of a concurrency limit. */
struct ConcurrencyBounds
{
    std::size_t most = 8;
    /** Time between two tokens that 95 in 100 must keep. */
    base::Milliseconds tokenGapTarget{40};
    /** Gaps that are looked at together. */
    std::uint32_t window = 100;
};

/**
 * How many calls the upstream gets at once. Free of clocks and locks.
 *
 * Starts at its upper bound. Goes down by a tenth when more than one gap in twenty of a window was longer than the
 * target; up by one when a window kept the target and the limit was what held calls back, unless the last step up
 * brought no more tokens: then it goes back and waits some windows before it tries again.
 */
class ConcurrencyLimit
{
public:
    /** @param bounds bounds and targets */
    explicit ConcurrencyLimit(const ConcurrencyBounds &bounds);

    /**
     * A token arrived.
     *
     * @param gap time since the one before it of the same call
     * @param callsWait whether calls wait for the limit
     * @param now the time
     */
    void tokenArrived(base::Milliseconds gap, bool callsWait, base::Timestamp now);

    /** @return calls that the upstream may have at once, at least one */
    std::size_t limit() const;

private:
    void windowEnded(bool callsWait, base::Timestamp now);

    const ConcurrencyBounds m_bounds;
    std::size_t m_limit;
    std::uint32_t m_gaps = 0;
    std::uint32_t m_longGaps = 0;
    base::Timestamp m_windowStart;
    /** Tokens per second before the last step up; zero when the last window was not one. */
    double m_rateBeforeStep = 0;
    std::uint32_t m_windowsToWait = 0;
};

}
