#include "runner/concurrencylimit.h"

#include <algorithm>

namespace briarhinge::runner
{

namespace
{

/** One gap in this many may exceed the target. */
constexpr std::uint32_t gapsPerAllowedLongGap = 20;
/** An increase of the limit must raise the token rate at least by this factor. */
constexpr double minRateGain = 1.01;
constexpr std::uint32_t windowsAfterIneffectiveIncrease = 20;
constexpr double msPerSecond = 1000;

}

ConcurrencyLimit::ConcurrencyLimit(const ConcurrencyBounds &bounds)
    : m_bounds(bounds)
    , m_limit(std::max<std::size_t>(1, bounds.maxCalls))
{
}

void ConcurrencyLimit::recordTokenGap(base::Milliseconds gap, bool hasQueuedCalls, base::Timestamp now)
{
    if (m_gaps == 0) {
        m_windowStart = now;
    }
    ++m_gaps;
    if (gap > m_bounds.tokenGapTarget) {
        ++m_longGaps;
    }
    if (m_gaps >= m_bounds.window) {
        evaluateWindow(hasQueuedCalls, now);
        m_gaps = 0;
        m_longGaps = 0;
    }
}

std::size_t ConcurrencyLimit::limit() const
{
    return m_limit;
}

void ConcurrencyLimit::evaluateWindow(bool hasQueuedCalls, base::Timestamp now)
{
    const auto spanMs = std::max<std::int64_t>(1, (now - m_windowStart).count());
    const double rate = m_gaps * msPerSecond / static_cast<double>(spanMs);
    if (m_longGaps * gapsPerAllowedLongGap > m_gaps) {
        m_limit = std::max<std::size_t>(1, std::min(m_limit - 1, m_limit * 9 / 10));
        m_rateBeforeIncrease = 0;
        return;
    }
    if (m_rateBeforeIncrease > 0 && hasQueuedCalls && rate < m_rateBeforeIncrease * minRateGain) {
        m_limit = std::max<std::size_t>(1, m_limit - 1);
        m_windowsUntilIncrease = windowsAfterIneffectiveIncrease;
        m_rateBeforeIncrease = 0;
        return;
    }
    m_rateBeforeIncrease = 0;
    if (m_windowsUntilIncrease > 0) {
        --m_windowsUntilIncrease;
    } else if (hasQueuedCalls && m_limit < m_bounds.maxCalls) {
        ++m_limit;
        m_rateBeforeIncrease = rate;
    }
}

}
