#include "dispatch/typicaldurations.h"

#include <algorithm>

namespace briarhinge::dispatch
{

namespace
{

/** Minimum number of samples. Durations vary as much as their mean, so fewer samples do not give a reliable mean. */
constexpr unsigned minCount = 10;
/** Window of the mean, in samples: a few seconds of a route's requests at one entry. */
constexpr unsigned maxCount = 200;
/** Milliseconds; smaller means are dominated by clock resolution and network latency. */
constexpr double minMeanMs = 1;

}

double TypicalDurations::add(const requests::RouteName &route, Duration duration)
{
    const double ratio = ratioToMean(route, duration);
    Mean &mean = m_means[route];
    mean.count = std::min(mean.count + 1, maxCount);
    mean.milliseconds += (duration.count() - mean.milliseconds) / mean.count;
    return ratio;
}

double TypicalDurations::ratioToMean(const requests::RouteName &route, Duration duration) const
{
    const auto found = m_means.find(route);
    if (found == m_means.end() || found->second.count < minCount) {
        return 1;
    }
    return duration.count() / std::max(minMeanMs, found->second.milliseconds);
}

}
