#pragma once

#include "dispatch/leavingrunners.h"
#include "dispatch/permitschedule.h"
#include "dispatch/promptcacheestimate.h"
#include "dispatch/ratelimits.h"
#include "dispatch/runner.h"
#include "dispatch/runnerperformance.h"
#include "dispatch/typicaldurations.h"
#include "placement/runnerhealth.h"
#include "requests/messages.h"

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
struct PlacementRequest
{
    requests::ServiceName service;
    std::vector<requests::PromptBlock> promptBlocks;
    base::Tokens promptTokens;
    /** Properties of the service's engines; empty for services without a model. */
    std::optional<requests::EngineTraits> engine;
    /** Runner that executed the previous turn; empty when there is none. */
    RunnerId previousRunner;
    /** Runners that must not be selected. */
    std::set<RunnerId> excluded;
    /** Whether a runner has crashed under the request; it then goes where a further crash breaks off the least. */
    bool isSuspect = false;
    /** Longest time for which the request can wait for a permit of a runner with a limit; negative for not asking. */
    base::Milliseconds permitWait{0};
};

/** The runner selected for a request. */
struct Placement
{
    RunnerId id;
    wire::Address address;
    /** Estimated number of requests that are running or queued on the runner. */
    double estimatedLoad = 0;
    /** Number of the prompt's tokens that are expected to be in the runner's cache. */
    base::Tokens cachedTokens;
    /** Start of the runner's incarnation in Unix milliseconds, 0 when unknown. */
    std::uint64_t startedAt = 0;
    /**
     * If the runner has named a limit: runners with limits, the best first, that would do as well as any runner without.
     * The request must not be sent without a permit for one of them.
     */
    std::vector<RunnerId> permitCandidates = {};
};

/** Returned when no runner can be selected. */
struct NoCapacity
{
    /** Whether matching runners exist but recently refused requests because they were full. */
    bool hasFullRunners = false;
    /** Earliest time at which there may be a permit for a matching runner; empty if none has a limit. */
    std::optional<placement::SteadyTime> nextPermit = std::nullopt;
};

/**
 * Weights of the placement cost, in milliseconds added to the request itself and to the requests that run beside it.
 */
struct PlacementWeights
{
    /** Prompt tokens that an engine prefills per millisecond: 72 to 73 on the users' engines. */
    double prefillTokensPerMs = 72;
    /**
     * Delay caused by each running request: 70 steps of 0.08 ms, counted once for the running request and once for the
     * new one.
     */
    double delayPerRequestMs = 11;
    /** Expected duration of a turn, for requests that have to wait for a slot. */
    double turnDurationMs = 220;
    /** Expected duration of a request without a model. */
    double plainRequestDurationMs = 90;
    /** Cost of a runner in another availability zone: the network round trip and the price of the traffic. */
    double crossZoneMs = 4;
    /** Cost of a request to a runner that has named a limit: it is short of something, whatever its load. */
    double limitedRunnerMs = 30;
    /** Slowness that single requests without a model may show by chance: their durations vary as much as their mean. */
    double toleratedSlowness = 1.5;
    /** The same for streams: a full engine slows all of its streams down by a factor of up to 2 and preempts some. */
    double toleratedEngineSlowness = 1.75;
    /** Cost of a failed request to its program: callers retry after 100 to 400 ms, and the request runs again. */
    double failureMs = 1000;
    /**
     * Share of a prompt that is assumed to be cached on the runner of the previous turn, when another entry sent that
     * turn.
     */
    double expectedCachedShare = 0.8;
};

/**
 * The runners known to one entry, and the selection among them. Combines the runners' registrations with what their
 * responses, failures and timeouts show.
 *
 * Reads no clock itself and opens no sockets. Not thread-safe.
 */
class LoadBalancer
{
public:
    using Time = placement::SteadyTime;

    /**
     * @param zone availability zone of this entry
     * @param weights weights of the placement cost
     */
    explicit LoadBalancer(base::ZoneName zone, const PlacementWeights &weights = {});

    /**
     * Adds or updates a runner. Registrations older than the known one are ignored.
     *
     * @param registration the registration
     * @return whether the runner is new or has changed
     */
    bool registerRunner(const RegisteredRunner &registration);

    /**
     * Removes a runner.
     *
     * @param id the runner
     * @return whether the runner was known
     */
    bool removeRunner(const RunnerId &id);

    /**
     * Selects the runner with the lowest placement cost.
     *
     * @param request the request to place
     * @param now current time
     * @return the selected runner, or why there is none
     */
    std::variant<Placement, NoCapacity> selectRunner(const PlacementRequest &request, Time now);

    /**
     * @param id a runner that a permit was granted for
     * @param request the request to place
     * @param now current time
     * @return the placement on this runner; nothing if it is gone or leaves
     */
    std::optional<Placement> placementOn(const RunnerId &id, const PlacementRequest &request, Time now) const;

    /**
     * Records that a request is being sent to a runner.
     *
     * @param id the runner
     * @param request the request
     */
    void requestSent(const RunnerId &id, const PlacementRequest &request);

    /**
     * Records that a request no longer occupies a runner.
     *
     * @param id the runner
     */
    void requestEnded(const RunnerId &id);

    /**
     * Records the load that a runner has reported with a response.
     *
     * @param id the runner
     * @param load the reported load
     * @param now current time
     */
    void loadReported(const RunnerId &id, const requests::ReportedLoad &load, Time now);

    /**
     * Records that a connection to a runner could not be opened or was lost.
     *
     * @param id the runner
     * @param now current time
     */
    void connectionFailed(const RunnerId &id, Time now);

    /**
     * Records that a runner refused a request without running it.
     *
     * @param id the runner
     * @param now current time
     */
    void requestRefused(const RunnerId &id, Time now);

    /**
     * Records that a runner has started to respond to a request.
     *
     * @param id the runner
     */
    void responseStarted(const RunnerId &id);

    /**
     * Records a response without an error of the runner.
     *
     * @param id the runner
     * @param route route of the request
     * @param duration duration of the request; for a stream, mean interval between two events
     * @param now current time
     */
    void requestAnswered(const RunnerId &id, const requests::RouteName &route, TypicalDurations::Duration duration,
                         Time now);

    /**
     * Records that a runner failed a request that it had accepted.
     *
     * @param id the runner
     * @param now current time
     */
    void requestFailed(const RunnerId &id, Time now);

    /**
     * Records that a request was cancelled before the runner had started to respond.
     *
     * @param id the runner
     * @param route route of the request
     * @param waited time since the request was sent to the runner
     * @param now current time
     */
    void requestStalled(const RunnerId &id, const requests::RouteName &route, TypicalDurations::Duration waited,
                        Time now);

    /**
     * Records that a runner has said in an answer that it leaves. It gets no further requests.
     *
     * @param id the runner
     * @param startedAt start of the incarnation that answered, in Unix milliseconds, 0 when unknown
     * @return whether that is new
     */
    bool runnerLeaves(const RunnerId &id, std::uint64_t startedAt);

    /**
     * Records what a runner has said of the rate at which it takes requests. What an incarnation before the registered one
     * has said is ignored.
     *
     * @param id the runner
     * @param statement what it said
     * @return whether its limit is another one since
     */
    bool rateStated(const RunnerId &id, const RateStatement &statement);

    /** @param id a runner @return what it has said of its rate; null if it never named a limit */
    const RateStatement *rateStatement(const RunnerId &id) const;

    /** @return what is known of the permits of runners with a limit */
    PermitSchedule<RunnerId> &permitSchedule();

    /**
     * @param service a service
     * @return requests a second that its runners with a limit take from all entries together
     */
    requests::RequestRate totalLimit(const requests::ServiceName &service) const;

    /** @param id a runner @return whether it drains, has said that it leaves, or is not registered */
    bool isLeaving(const RunnerId &id) const;

    /**
     * @param service a service
     * @param now current time
     * @return mean number of running and queued requests per slot of its runners, those at their limits aside, from recent
     *         reports; nothing if too few runners have reported or all are at their limits
     */
    std::optional<double> loadPerSlot(const requests::ServiceName &service, Time now) const;

    /** @return number of known runners */
    std::size_t size() const;

    /** @param id a runner @return its registration, or null if it is not known */
    const RegisteredRunner *registration(const RunnerId &id) const;

    /** @param id a runner @return the other runners of its service in its zone that do not leave */
    std::vector<RegisteredRunner> neighbours(const RunnerId &id) const;

private:
    struct Runner
    {
        RegisteredRunner registration;
        std::uint32_t outstanding = 0;
        /** Running and queued requests, as last reported by the runner. */
        std::uint32_t reportedLoad = 0;
        /** Requests of this entry that were outstanding at the time of that report. */
        std::uint32_t outstandingAtReport = 0;
        std::optional<Time> loadReportedAt;
        std::optional<Time> fullUntil;
        placement::RunnerHealth health;
        RunnerPerformance performance;
        PromptCacheEstimate promptCache;
    };

    template <class Update>
    void updateRunner(const RunnerId &id, Update apply)
    {
        const auto found = m_runners.find(id);
        if (found != m_runners.end()) {
            apply(found->second);
        }
    }

    bool isLeaving(const Runner &runner) const;
    Placement makePlacement(const Runner &runner, const PlacementRequest &request, double usualLoad, Time now) const;
    /**
     * @param runner a runner
     * @param usualLoad load per slot that it is assumed to have as far as it has not reported its load lately
     * @param now current time
     * @return estimated number of running and queued requests
     */
    static double estimatedLoad(const Runner &runner, double usualLoad, Time now);
    /** @return whether a runner of the service has named a limit */
    bool hasLimits(const requests::ServiceName &service) const;
    /** @return load per slot of runners of the service that have not reported it; 0 unless some of them have limits */
    double usualLoad(const requests::ServiceName &service, Time now) const;
    double penalty(const Runner &runner, const PlacementRequest &request, Time now) const;
    double placementCost(const Runner &runner, const PlacementRequest &request, double load, Time now) const;

    const base::ZoneName m_zone;
    const PlacementWeights m_weights;
    std::map<RunnerId, Runner> m_runners;
    LeavingRunners m_leaving;
    RateLimits m_rateLimits;
    PermitSchedule<RunnerId> m_permitSchedule;
    TypicalDurations m_typicalDurations;
    std::size_t m_rotation = 0;
};

}
