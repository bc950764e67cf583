#pragma once

#include "forwarding/routing.h"

#include <chrono>
#include <unordered_map>

namespace briarhinge::dispatch
{

/** What requests of each route usually take, over all runners. Free of clocks; not synchronised. */
class UsualTimes
{
public:
    /** A time with fractions of a millisecond. */
    using Time = std::chrono::duration<double, std::milli>;

    /**
     * Takes in the time of one request.
     *
     * @param route its route
     * @param time how long it took
     * @return the time as a multiple of what was usual before; 1 while too little is known
     */
    double add(const forwarding::RouteName &route, Time time);

    /** @param route a route @param time a time @return the time as a multiple of what is usual; 1 if that is unknown */
    double multiple(const forwarding::RouteName &route, Time time) const;

private:
    struct Mean
    {
        double milliseconds = 0;
        unsigned count = 0;
    };

    std::unordered_map<forwarding::RouteName, Mean> m_means;
};

}
