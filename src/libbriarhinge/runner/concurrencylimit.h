#pragma once

#include "base/units.h"

#include <cstddef>
#include <cstdint>

namespace briarhinge::runner
{

/** Bounds and latency target of a concurrency limit. */
struct ConcurrencyBounds
{
    std::size_t maxCalls = 8;
    /** Target for the 95th percentile of the time between two tokens of a call. */
    base::Milliseconds tokenGapTarget{40};
    /** Number of token gaps that are evaluated together. */
    std::uint32_t window = 100;
};

/**
 * Adaptive limit on the number of concurrent calls to the upstream. Uses no clock and no locks.
 *
 * The limit starts at its upper bound. It decreases by a tenth when more than one gap in twenty of a window exceeded
 * the target, and increases by one when a window met the target while calls were queued. If an increase did not raise
 * the token rate, it is undone, and the next attempt follows only after several windows.
 */
class ConcurrencyLimit
{
public:
    /** @param bounds bounds and latency target */
    explicit ConcurrencyLimit(const ConcurrencyBounds &bounds);

    /**
     * Records a token of a running call.
     *
     * @param gap time since the previous token of the same call
     * @param hasQueuedCalls whether calls are queued
     * @param now current time
     */
    void recordTokenGap(base::Milliseconds gap, bool hasQueuedCalls, base::Timestamp now);

    /** @return maximum number of concurrent calls, at least one */
    std::size_t limit() const;

private:
    void evaluateWindow(bool hasQueuedCalls, base::Timestamp now);

    const ConcurrencyBounds m_bounds;
    std::size_t m_limit;
    std::uint32_t m_gaps = 0;
    std::uint32_t m_longGaps = 0;
    base::Timestamp m_windowStart;
    /** Tokens per second before the increase that the previous window ended with; zero if there was none. */
    double m_rateBeforeIncrease = 0;
    std::uint32_t m_windowsUntilIncrease = 0;
};

}
