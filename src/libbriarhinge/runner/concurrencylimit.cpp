#include "runner/concurrencylimit.h"

#include <algorithm>

namespace briarhinge::runner
{

namespace
{

/** One gap in this many may exceed the target. */
constexpr std::uint32_t gapsPerLongGap = 20;
/** An increase of the limit must raise the token rate at least by this factor. */
constexpr double leastGain = 1.01;
constexpr std::uint32_t windowsAfterUselessStep = 20;
constexpr double msPerSecond = 1000;

}

ConcurrencyLimit::ConcurrencyLimit(const ConcurrencyBounds &bounds)
    : m_bounds(bounds)
    , m_limit(std::max<std::size_t>(1, bounds.most))
{
}

void ConcurrencyLimit::tokenArrived(base::Milliseconds gap, bool callsWait, base::Timestamp now)
{
    if (m_gaps == 0) {
        m_windowStart = now;
    }
    ++m_gaps;
    if (gap > m_bounds.tokenGapTarget) {
        ++m_longGaps;
    }
    if (m_gaps >= m_bounds.window) {
        windowEnded(callsWait, now);
        m_gaps = 0;
        m_longGaps = 0;
    }
}

std::size_t ConcurrencyLimit::limit() const
{
    return m_limit;
}

void ConcurrencyLimit::windowEnded(bool callsWait, base::Timestamp now)
{
    const auto spanMs = std::max<std::int64_t>(1, (now - m_windowStart).count());
    const double rate = m_gaps * msPerSecond / static_cast<double>(spanMs);
    if (m_longGaps * gapsPerLongGap > m_gaps) {
        m_limit = std::max<std::size_t>(1, std::min(m_limit - 1, m_limit * 9 / 10));
        m_rateBeforeStep = 0;
        return;
    }
    if (m_rateBeforeStep > 0 && callsWait && rate < m_rateBeforeStep * leastGain) {
        m_limit = std::max<std::size_t>(1, m_limit - 1);
        m_windowsToWait = windowsAfterUselessStep;
        m_rateBeforeStep = 0;
        return;
    }
    m_rateBeforeStep = 0;
    if (m_windowsToWait > 0) {
        --m_windowsToWait;
    } else if (callsWait && m_limit < m_bounds.most) {
        ++m_limit;
        m_rateBeforeStep = rate;
    }
}

}
