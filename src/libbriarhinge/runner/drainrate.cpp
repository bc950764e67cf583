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

void DrainRate::callEnded(base::Milliseconds ranFor)
{
    const auto ranMs = static_cast<double>(std::max<std::int64_t>(1, ranFor.count()));
    m_meanMs = m_meanMs == 0 ? ranMs : m_meanMs + newestWeight * (ranMs - m_meanMs);
}

base::Milliseconds DrainRate::expectedWait(std::size_t ahead, std::size_t limit) const
{
    const double waitMs = m_meanMs * static_cast<double>(ahead) / static_cast<double>(std::max<std::size_t>(1, limit));
    return base::Milliseconds(static_cast<std::int64_t>(std::ceil(waitMs)));
}

}
