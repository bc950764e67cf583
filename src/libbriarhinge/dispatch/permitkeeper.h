#pragma once

#include "dispatch/ratelimits.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <variant>
#include <vector>

namespace briarhinge::dispatch
{

/** Asks for a permit to send one request to one of several runners. */
struct PermitRequest
{
    /** The runners, the best first, and what the asking entry knows of them. */
    std::vector<KnownRate> runners;
    /** Longest time for which the request can wait. */
    base::Milliseconds maxWait{0};
};

/** One request may be sent to a runner, after a delay. */
struct PermitGranted
{
    RunnerId runner;
    std::chrono::steady_clock::duration delay{};
};

/** No permit is free within the time for which the request can wait. */
struct PermitDenied
{
    /** Times until the next ones are free, for the runners in the order of the request. */
    std::vector<std::chrono::steady_clock::duration> delays;
};

/**
 * Grants permits for one share of the limits of all runners. Each of several keepers has an equal share of each limit and
 * grants at that rate by itself, so that all together never exceed the limit, whether they can reach each other or not.
 *
 * Permits are granted one by one, in the order of the requests, at equal intervals. A keeper that starts, or hears of a
 * limit for the first time, has none at first: what was sent before is unknown to it.
 *
 * Reads no clock itself. Not thread-safe.
 */
class PermitKeeper
{
public:
    using Time = RateStatement::Time;
    using Decision = std::variant<PermitGranted, PermitDenied>;

    /**
     * @param startTime the current time; permits that an earlier incarnation granted may still be used shortly after
     * @param maxRunners maximum number of runners that are remembered; the ones heard of last are kept
     */
    explicit PermitKeeper(Time startTime, std::size_t maxRunners = 4096);

    /**
     * Decides whether a request may be sent, and to which runner: to the first one that has a permit free at once, or to
     * the one that has a permit first.
     *
     * @param request the request
     * @param keepers number of keepers that share each limit; 0 if this one has no share
     * @param now current time
     * @return the decision
     */
    Decision decide(const PermitRequest &request, std::size_t keepers, Time now);

    /** @param id a runner @return what is known of it; null if it never named a limit */
    const RateStatement *statement(const RunnerId &id) const;

private:
    struct Bucket
    {
        /** Start of the incarnation. */
        std::uint64_t startedAt = 0;
        /** Whether the limit has ended; another one may come. */
        bool hasEnded = false;
        /** Time of the latest permit, also one granted ahead; the next one follows after an interval. */
        Time last;
    };

    /** @return time until the next permit for a runner is free; nothing if it has no limit */
    std::optional<std::chrono::steady_clock::duration> delay(const KnownRate &runner, std::size_t keepers, Time now);
    const Bucket &updateBucket(const RunnerId &id, const RateStatement &rate, Time now);

    const Time m_startTime;
    const std::size_t m_maxRunners;
    RateLimits m_rates;
    std::map<RunnerId, Bucket> m_buckets;
};

}
