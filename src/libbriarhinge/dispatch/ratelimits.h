#pragma once

#include "dispatch/runner.h"
#include "requests/messages.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace briarhinge::dispatch
{

/** What an incarnation of a runner has said of the rate at which it takes requests, and when. */
struct RateStatement
{
    using Time = std::chrono::steady_clock::time_point;

    /** Start of the incarnation in Unix milliseconds, 0 when unknown. */
    std::uint64_t startedAt = 0;
    /** Requests that it takes from all entries together; empty when it takes any number. */
    std::optional<requests::RequestRate> limit;
    /** Earliest and latest time at which it can have said so: the request was sent, its answer was received. */
    Time earliest;
    Time latest;

    /** @return whether both say the same of the same incarnation, whenever they did */
    bool saysSameAs(const RateStatement &other) const
    {
        return startedAt == other.startedAt && limit == other.limit;
    }
};

/** A runner and what is known of the rate at which it takes requests. */
struct KnownRate
{
    RunnerId runner;
    RateStatement statement;
};

/**
 * The limits that runners name in their answers. Answers overtake each other: a higher limit, or none, replaces a lower
 * one only if the runner has certainly said so later; a lower one holds at once.
 *
 * Remembers nothing of runners that never named a limit. What one has said holds until it is registered with a later start:
 * its registration may be gone for a while. Reads no clock itself. Not thread-safe.
 */
class RateLimits
{
public:
    using Time = RateStatement::Time;

    /** @param maxRunners maximum number of runners that are remembered; the ones heard of last are kept */
    explicit RateLimits(std::size_t maxRunners = 4096);

    /**
     * Records a statement.
     *
     * @param id the runner
     * @param statement what it said
     * @return whether the limit of the runner is another one since
     */
    bool record(const RunnerId &id, const RateStatement &statement);

    /**
     * Forgets what an earlier incarnation said.
     *
     * @param id a runner that was registered
     * @param startedAt start of its incarnation in Unix milliseconds, 0 when unknown
     */
    void recordRegistration(const RunnerId &id, std::uint64_t startedAt);

    /** @param id a runner @return its limit; nothing if it takes any number of requests */
    std::optional<requests::RequestRate> limit(const RunnerId &id) const;

    /** @param id a runner @return the statement that holds for it; null if it never named a limit */
    const RateStatement *statement(const RunnerId &id) const;

    /** @return the statements that hold, by runner */
    const std::map<RunnerId, RateStatement> &statements() const;

private:
    bool isLower(const RateStatement &statement, const RateStatement &known) const;
    void trim();

    const std::size_t m_maxRunners;
    std::map<RunnerId, RateStatement> m_statements;
};

}
