#pragma once

#include "base/units.h"

#include <algorithm>
#include <chrono>

namespace briarhinge::turns
{

/** When a stored record was last used, and when it expires. A longer retention prolongs it, a shorter one changes nothing. */
struct Lifetime
{
    /** Point in time on any monotonic clock. */
    using Time = std::chrono::steady_clock::time_point;

    Time lastUse;
    Time expiry;

    /** Prolongs the lifetime so that it ends no sooner than the @p retention after the last use. */
    void extend(base::Milliseconds retention)
    {
        expiry = std::max(expiry, lastUse + retention);
    }

    /** Takes over the later use and the later expiry of @p other. */
    void extend(const Lifetime &other)
    {
        lastUse = std::max(lastUse, other.lastUse);
        expiry = std::max(expiry, other.expiry);
    }

    /** @return whether extend() with @p other would change nothing */
    bool covers(const Lifetime &other) const
    {
        return lastUse >= other.lastUse && expiry >= other.expiry;
    }
};

/** Longest retention; longer ones are cut, so that no time overflows. */
inline constexpr base::Milliseconds maxRetention = std::chrono::hours(24 * 366);

/**
 * @param routeRetention how long a route promises to retain turns
 * @return how long turn stores retain them, so that a late turn still finds its chain
 */
constexpr base::Milliseconds storeRetention(base::Milliseconds routeRetention)
{
    constexpr base::Milliseconds minRetention{90'000};
    constexpr base::Milliseconds margin{30'000};
    return std::max(minRetention, std::min(routeRetention, maxRetention) + margin);
}

}
