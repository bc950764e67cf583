#pragma once

#include "dispatch/partcache.h"
#include "dispatch/runner.h"
#include "dispatch/servicerecord.h"
#include "dispatch/usualtimes.h"
#include "forwarding/messages.h"
#include "placement/runnerhealth.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace briarhinge::dispatch
{

/** A request that is to be placed on a runner. */
struct Need
{
    forwarding::ServiceName service;
    std::vector<forwarding::PromptPart> promptParts;
    base::Tokens promptTokens;
    /** Properties of the service's engines; empty for services without a model. */
    std::optional<forwarding::EngineTraits> engine;
    /** Runner that executed the previous turn; empty when there is none. */
    RunnerId home;
    /** Runners that must not be selected. */
    std::set<RunnerId> excluded;
};

/** The runner selected for a request. */
struct Choice
{
    RunnerId id;
    wire::Address address;
    /** Estimated number of requests that are running or queued on the runner. */
    double busy = 0;
    /** Number of the prompt's tokens that are expected to be in the runner's cache. */
    base::Tokens cached;
};

/** Returned when no runner can be selected. */
struct NoPlace
{
    /** Whether matching runners exist but recently refused requests because they were full. */
    bool isFull = false;
};

/**
 * Weights of the placement cost, in milliseconds added to the request itself and to the requests that run beside it.
 */
struct PlaceWeights
{
    /** Prompt tokens that an engine prefills per millisecond: 72 to 73 on the users' engines. */
    double tokensPerMs = 72;
    /**
     * Delay caused by each running request: 70 steps of 0.08 ms, counted once for the running request and once for the
     * new one.
     */
    double perRunningMs = 11;
    /** Expected duration of a turn, for requests that have to wait for a slot. */
    double turnMs = 220;
    /** Expected duration of a request without a model. */
    double workMs = 90;
    /** Cost of a runner in another availability zone: the network round trip and the price of the traffic. */
    double otherZoneMs = 4;
    /** Slowness that single requests without a model may show by chance: their durations vary as much as their mean. */
    double tolerated = 1.5;
    /** The same for streams: a full engine slows all of its streams down by a factor of up to 2 and preempts some. */
    double toleratedOfEngines = 1.75;
    /** Cost of a failed request to its program: callers retry after 100 to 400 ms, and the request runs again. */
    double failureMs = 1000;
    /**
     * Share of a prompt that is assumed to be cached on the runner of the previous turn, when another entry sent that
     * turn.
     */
    double keptAtHome = 0.8;
};

/**
 * The runners known to one entry, and the selection among them. Combines the runners' registrations with what their
 * responses, failures and timeouts show.
 *
 * Reads no clock itself and opens no sockets. Not thread-safe.
 */
class RunnerBoard
{
public:
    using Time = placement::SteadyTime;

    /**
     * @param zone availability zone of this entry
     * @param weights weights of the placement cost
     */
    explicit RunnerBoard(base::ZoneName zone, const PlaceWeights &weights = {});

    /**
     * Adds or updates a runner. Registrations older than the known one are ignored.
     *
     * @param runner the registration
     * @return whether the runner is new or has changed
     */
    bool registered(const RegisteredRunner &runner);

    /**
     * Removes a runner.
     *
     * @param id the runner
     * @return whether the runner was known
     */
    bool removed(const RunnerId &id);

    /**
     * Selects the runner with the lowest placement cost.
     *
     * @param need the request to place
     * @param now current time
     * @return the selected runner, or why there is none
     */
    std::variant<Choice, NoPlace> choose(const Need &need, Time now);

    /**
     * Records that a request is being sent to a runner.
     *
     * @param id the runner
     * @param need the request
     */
    void sent(const RunnerId &id, const Need &need);

    /**
     * Records that a request no longer occupies a runner.
     *
     * @param id the runner
     */
    void ended(const RunnerId &id);

    /**
     * Records the load that a runner has reported with a response.
     *
     * @param id the runner
     * @param load the reported load
     * @param now current time
     */
    void loadSeen(const RunnerId &id, const forwarding::LoadSeen &load, Time now);

    /**
     * Records that a connection to a runner could not be opened or was lost.
     *
     * @param id the runner
     * @param now current time
     */
    void failed(const RunnerId &id, Time now);

    /**
     * Records that a runner refused a request without running it.
     *
     * @param id the runner
     * @param now current time
     */
    void refused(const RunnerId &id, Time now);

    /**
     * Records that a runner has started to respond to a request.
     *
     * @param id the runner
     */
    void progressed(const RunnerId &id);

    /**
     * Records a response without an error of the runner.
     *
     * @param id the runner
     * @param route route of the request
     * @param time duration of the request; for a stream, mean interval between two events
     * @param now current time
     */
    void answered(const RunnerId &id, const forwarding::RouteName &route, UsualTimes::Time time, Time now);

    /**
     * Records that a runner failed a request that it had accepted.
     *
     * @param id the runner
     * @param now current time
     */
    void erred(const RunnerId &id, Time now);

    /**
     * Records that a request was cancelled before the runner had started to respond.
     *
     * @param id the runner
     * @param route route of the request
     * @param waited time since the request was sent to the runner
     * @param now current time
     */
    void stoodStill(const RunnerId &id, const forwarding::RouteName &route, UsualTimes::Time waited, Time now);

    /** @return number of known runners */
    std::size_t size() const;

private:
    struct Runner
    {
        RegisteredRunner entry;
        std::uint32_t outstanding = 0;
        /** Running and queued requests, as last reported by the runner. */
        std::uint32_t told = 0;
        /** Requests of this entry that were outstanding at the time of that report. */
        std::uint32_t outstandingThen = 0;
        std::optional<Time> toldAt;
        std::optional<Time> fullUntil;
        placement::RunnerHealth health;
        ServiceRecord record;
        PartCache parts;
    };

    template <class Change>
    void change(const RunnerId &id, Change apply)
    {
        const auto found = m_runners.find(id);
        if (found != m_runners.end()) {
            apply(found->second);
        }
    }

    static double busyOf(const Runner &runner, Time now);
    double troubleOf(const Runner &runner, const Need &need, Time now) const;
    double costOf(const Runner &runner, const Need &need, Time now) const;

    const base::ZoneName m_zone;
    const PlaceWeights m_weights;
    std::map<RunnerId, Runner> m_runners;
    UsualTimes m_usual;
    std::size_t m_turn = 0;
};

}
