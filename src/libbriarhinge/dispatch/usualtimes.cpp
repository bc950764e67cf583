#include "dispatch/usualtimes.h"

#include <algorithm>

namespace briarhinge::dispatch
{

namespace
{

/** Times vary as much as their mean: fewer say little of it. */
constexpr unsigned leastCount = 10;
/** Times that the mean covers: some seconds of a route's requests at one entry. */
constexpr unsigned mostCount = 200;
/** Below it, the clock and the network decide. */
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
