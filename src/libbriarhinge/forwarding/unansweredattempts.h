#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "dispatch/loadbalancer.h"
#include "placement/crash.h"
#include "wire/address.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <vector>

namespace briarhinge::forwarding
{

/** An attempt that ended without a whole answer while its connection stood, for example at the request's deadline. */
struct UnansweredAttempt
{
    /** The crash that the silence stands for, if the runner has crashed. */
    placement::CrashId crash;
    placement::CrashedRequest request;
    wire::Address address;
};

/**
 * Attempts whose runners have said nothing, until it is known what became of the runners. A crash does not always close
 * connections, and then shows only in a later start of the runner, or of another one at its address.
 *
 * Nothing is concluded of a runner that answers again, that leaves, or that started anew together with another one of
 * its availability zone. Bounded in number and time; reads no clock; not thread-safe.
 */
class UnansweredAttempts
{
public:
    using Time = std::chrono::steady_clock::time_point;

    /**
     * Records an attempt.
     *
     * @param attempt the attempt
     * @param now the time at which it ended
     */
    void record(UnansweredAttempt attempt, Time now);

    /**
     * Drops what a sign of life refutes.
     *
     * @param runner the runner that has begun to answer
     * @param startedAt start of its incarnation in Unix milliseconds
     * @param sentAt the time at which the answered request was sent
     */
    void runnerAnswered(const dispatch::RunnerId &runner, std::uint64_t startedAt, Time sentAt);

    /** Drops what is known of @p runner, which leaves or was told to. */
    void runnerLeft(const dispatch::RunnerId &runner);

    /**
     * Looks for runners that have ended silently.
     *
     * @param registration a runner that is registered
     * @param now the current time
     */
    void runnerRegistered(const dispatch::RegisteredRunner &registration, Time now);

    /**
     * @param now the current time
     * @return crashes that have been found and that are not explained by their zone, each once
     */
    std::vector<placement::CrashReport> takeReports(Time now);

    /** @return the number of attempts that are remembered */
    std::size_t size() const;

private:
    static constexpr std::size_t maxAttempts = 512;
    static constexpr std::size_t maxRestarts = 256;
    /** A crashed runner is registered again after some seconds. */
    static constexpr base::Milliseconds retention{60'000};
    /** Runners of one zone that start within this time may have ended for one reason. */
    static constexpr base::Milliseconds simultaneity{1000};

    struct Pending
    {
        UnansweredAttempt attempt;
        Time endedAt;
        /** Start of the process that has taken the runner's place, in Unix milliseconds, 0 while there is none. */
        std::uint64_t successorStart = 0;
        base::ZoneName zone;
        Time foundAt;
    };

    struct Restart
    {
        wire::Address address;
        base::ZoneName zone;
        std::uint64_t startedAt = 0;
        Time foundAt;
    };

    static bool isDue(const Pending &pending, Time now);
    bool isExplainedByZone(const Pending &pending) const;
    void expire(Time now);

    std::deque<Pending> m_pending;
    /** Starts of runners that were registered lately. */
    std::deque<Restart> m_restarts;
};

}
