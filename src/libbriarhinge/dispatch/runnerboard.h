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

/** What is to be placed. */
struct Need
{
    forwarding::ServiceName service;
    std::vector<forwarding::PromptPart> promptParts;
    base::Tokens promptTokens;
    /** What the service's engines are like; nothing for services without a model. */
    std::optional<forwarding::EngineTraits> engine;
    /** Engine that ran the turn before; empty when there is none. */
    RunnerId home;
    /** Runners that must not be taken. */
    std::set<RunnerId> excluded;
};

/** Where a request goes. */
struct Choice
{
    RunnerId id;
    wire::Address address;
    /** Requests that are thought to run or wait there. */
    double busy = 0;
    /** Tokens of the prompt that are expected to be kept there. */
    base::Tokens cached;
};

/** Why there is no place. */
struct NoPlace
{
    /** Whether runners are there but full. */
    bool isFull = false;
};

/** How places are weighed, in milliseconds of the request's time and of those beside it. */
struct PlaceWeights
{
    /** Prompt tokens that an engine reads in a millisecond: 72 to 73 on the users' engines. */
    double tokensPerMs = 72;
    /** What each request that runs adds to the others: 70 steps of 0.08 ms, once for it and once for the new one. */
    double perRunningMs = 11;
    /** Expected time of a turn, for those that have to wait for a slot. */
    double turnMs = 220;
    /** Expected time of a request without a model. */
    double workMs = 90;
    /** Cost of a runner in another zone: the way there and back and the price of the bytes. */
    double otherZoneMs = 4;
    /** Slowness that single times of requests without a model may show by chance: they vary as much as their mean. */
    double tolerated = 1.5;
    /** The same of streams: a full engine slows all of its streams, up to twice, and puts some back. */
    double toleratedOfEngines = 1.75;
    /** What a failed request costs its program: callers send it again after 100 to 400 ms, and it runs anew. */
    double failureMs = 1000;
    /** Share of a prompt that the engine of the turn before is thought to keep, when another entry sent it there. */
    double keptAtHome = 0.8;
};

/**
 * The runners as one entry knows them, and the choice among them: what they registered, corrected by what their answers
 * and their silence say. Free of clocks and sockets; not synchronised.
 */
class RunnerBoard
{
public:
    using Time = placement::SteadyTime;

    /** @param zone the zone of this entry @param weights how places are weighed */
    explicit RunnerBoard(base::ZoneName zone, const PlaceWeights &weights = {});

    /** A runner registered. @param runner the runner @return whether that changed anything */
    bool registered(const RegisteredRunner &runner);

    /** A runner is gone. @param id the runner @return whether it was known */
    bool removed(const RunnerId &id);

    /** @param need what to place @param now the time @return where it goes, or why nowhere */
    std::variant<Choice, NoPlace> choose(const Need &need, Time now);

    /** A request goes to a runner. @param id the runner @param need the request */
    void sent(const RunnerId &id, const Need &need);

    /** A request has ended at a runner. @param id the runner */
    void ended(const RunnerId &id);

    /** @param id a runner @param load what it told with an answer @param now the time */
    void loadSeen(const RunnerId &id, const forwarding::LoadSeen &load, Time now);

    /** A connection to a runner failed or broke off. @param id the runner @param now the time */
    void failed(const RunnerId &id, Time now);

    /** A runner refused a request. @param id the runner @param now the time */
    void refused(const RunnerId &id, Time now);

    /** A runner answered a request. @param id the runner */
    void progressed(const RunnerId &id);

    /**
     * A request was answered.
     *
     * @param id the runner
     * @param route its route
     * @param time how long it took; of a stream, the mean time between two events
     * @param now the time
     */
    void answered(const RunnerId &id, const forwarding::RouteName &route, UsualTimes::Time time, Time now);

    /** A runner failed a request that it had taken. @param id the runner @param now the time */
    void erred(const RunnerId &id, Time now);

    /**
     * A request was given up before the runner had said anything.
     *
     * @param id the runner
     * @param route its route
     * @param waited how long the runner had it
     * @param now the time
     */
    void stoodStill(const RunnerId &id, const forwarding::RouteName &route, UsualTimes::Time waited, Time now);

    /** @return how many runners are known */
    std::size_t size() const;

private:
    struct Runner
    {
        RegisteredRunner entry;
        std::uint32_t outstanding = 0;
        /** Requests that run or wait, as last told. */
        std::uint32_t told = 0;
        /** Requests of this entry under way when it was told. */
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
