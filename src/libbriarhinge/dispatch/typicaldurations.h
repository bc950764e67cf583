#pragma once

#include "requests/routing.h"

#include <chrono>
#include <unordered_map>

namespace briarhinge::dispatch
{

/**
 * Typical request durations of each route, over all runners.
 *
 * Reads no clock itself. Not thread-safe.
 */
class TypicalDurations
{
public:
    /** Duration in fractional milliseconds. */
    using Duration = std::chrono::duration<double, std::milli>;

    /**
     * Adds the duration of one request to the mean of its route.
     *
     * @param route route of the request
     * @param duration duration of the request
     * @return ratio of the duration to the mean before it was added; 1 while there are too few samples
     */
    double add(const requests::RouteName &route, Duration duration);

    /**
     * @param route route of the request
     * @param duration duration of the request
     * @return ratio of the duration to the mean of the route; 1 while there are too few samples
     */
    double ratioToMean(const requests::RouteName &route, Duration duration) const;

private:
    struct Mean
    {
        double milliseconds = 0;
        unsigned count = 0;
    };

    std::unordered_map<requests::RouteName, Mean> m_means;
};

}
