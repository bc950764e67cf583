#include "runner/drainrate.h"

#include <algorithm>
#include <cmath>

namespace briarhinge::runner
{

namespace
{

/** Weight of the latest call in the moving average. */
constexpr double newestWeight = 0.1;

}

void DrainRate::recordCallDuration(base::Milliseconds duration)
{
    const auto durationMs = static_cast<double>(std::max<std::int64_t>(1, duration.count()));
    m_meanDurationMs =
        m_meanDurationMs == 0 ? durationMs : m_meanDurationMs + newestWeight * (durationMs - m_meanDurationMs);
}

base::Milliseconds DrainRate::expectedWait(std::size_t callsAhead, std::size_t limit) const
{
    const double waitMs =
        m_meanDurationMs * static_cast<double>(callsAhead) / static_cast<double>(std::max<std::size_t>(1, limit));
    return base::Milliseconds(static_cast<std::int64_t>(std::ceil(waitMs)));
}

}
