#include "dispatch/usualtimes.h"

#include <algorithm>

namespace briarhinge::dispatch
{

namespace
{

/** Minimum number of samples. Durations vary as much as their mean, so fewer samples do not give a reliable mean. */
constexpr unsigned leastCount = 10;
/** Window of the mean, in samples: a few seconds of a route's requests at one entry. */
constexpr unsigned mostCount = 200;
/** Milliseconds; smaller means are dominated by clock resolution and network latency. */
constexpr double shortestMean = 1;

}

double UsualTimes::add(const forwarding::RouteName &route, Time time)
{
    const double before = multiple(route, time);
    Mean &mean = m_means[route];
    mean.count = std::min(mean.count + 1, mostCount);
    mean.milliseconds += (time.count() - mean.milliseconds) / mean.count;
    return before;
}

double UsualTimes::multiple(const forwarding::RouteName &route, Time time) const
{
    const auto found = m_means.find(route);
    if (found == m_means.end() || found->second.count < leastCount) {
        return 1;
    }
    return time.count() / std::max(shortestMean, found->second.milliseconds);
}

}
