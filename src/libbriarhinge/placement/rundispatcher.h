#pragma once

#include "placement/callrun.h"
#include "placement/retrybudget.h"
#include "placement/suspecttable.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace briarhinge::logging
{
class EventLog;
}

namespace briarhinge::placement
{

/** How calls are dispatched. */
struct DispatchSettings
{
    base::ZoneName zone;
    /** Names this entry towards runners. */
    std::string name;
    /** Runners that are asked for their load before a new program is placed; 0 or 1 asks none. */
    std::size_t probes = 2;
    /** Retries that each call allows on average. */
    double retryShare = 0.1;
    /** An idempotent call that stands still for longer, as its runner does, goes to another. */
    base::Milliseconds stallLimit{2000};
    /** Longest time of a call. */
    base::Milliseconds callTimeLimit{600'000};
    /** A new program is refused when it would wait longer and no call of a lower priority is under way. */
    base::Milliseconds newProgramWait{3000};
    /** Whether the runners order calls by priority and attained service, or as they come. */
    bool ordersByService = true;
    CallBounds bounds;
};

/** Places calls on runner processes, follows them, and tries idempotent ones again elsewhere. */
class RunDispatcher
{
public:
    /**
     * @param context runs the timers
     * @param directory the runners
     * @param log gets retries and failures
     * @param policy chooses runners
     * @param settings how calls are dispatched
     */
    RunDispatcher(boost::asio::io_context &context, RunnerDirectory &directory, logging::EventLog &log,
                  ChosenPolicy policy, DispatchSettings settings);

    /** Runs a call. @param call what to run @param observer is told of each piece and of the end */
    void dispatch(const core::DispatchCall &call, const service::DispatchObserver &observer);

    /** Stops a call that is under way, if it is. @param program its program @param number its number */
    void cancel(const base::ProgramId &program, base::CallNumber number);

    /** Lets go of what engines hold for a program. @param program the program */
    void release(const base::ProgramId &program);

private:
    using CallKey = std::pair<base::ProgramId, base::CallNumber>;
    using RunPtr = std::shared_ptr<CallRun>;
    using AttemptPtr = std::shared_ptr<Attempt>;

    /** The calls of one digest that are under way. */
    struct Equals
    {
        std::size_t count = 0;
        std::string runner;
    };

    void start(const RunPtr &run);
    void place(const RunPtr &run);
    void askAndPlace(const RunPtr &run, const std::vector<Candidate> &asked);
    void placeNow(const RunPtr &run);
    /** Requests of one digest run at one runner, so that one that crashes its upstream takes down only one. */
    bool isOverloaded(const CallRun &run, const Placement &placement);
    Placement choose(const CallRun &run, const std::vector<Candidate> &candidates);
    void placeLater(const RunPtr &run, base::Milliseconds delay);
    std::vector<Candidate> eligible(CallRun &run) const;
    void send(const RunPtr &run, const Placement &placement);
    wire::ExecuteCallT frameOf(const CallRun &run) const;

    void replied(const RunPtr &run, const AttemptPtr &attempt, const wire::ChannelReply &reply);
    void chunkArrived(const RunPtr &run, const AttemptPtr &attempt, const wire::CallChunkT &chunk);
    void resultArrived(const RunPtr &run, const AttemptPtr &attempt, const wire::CallResultT &result);
    void countResult(const Attempt &attempt, const wire::CallResultT &result);
    void lost(const RunPtr &run, const AttemptPtr &attempt, const wire::ChannelError &error);
    void upstreamCrashed(const RunPtr &run, const AttemptPtr &attempt, const core::Outcome &outcome);
    void checkFleet(const RunPtr &run);
    void fleetChecked(const RunPtr &run, bool isQuarantined, bool mustWait);
    void clearSuspect(const base::Digest &digest);
    void quarantined(const RunPtr &run);
    static core::Outcome quarantineOutcome(CallRun &run);
    void tryElsewhere(const RunPtr &run, const AttemptPtr &attempt, const core::Outcome &outcome);
    bool takeRetry();
    void noRunnerLeft(const RunPtr &run);
    void finish(const RunPtr &run, core::Outcome outcome);
    void endTrial(const CallRun &run, const core::Outcome &outcome);
    void wake(const base::Digest &digest);

    void scheduleTick();
    void tick();
    void checkProgress(const RunPtr &run, SteadyTime now);
    bool standsStill(const CallRun &run, SteadyTime now) const;
    void askDraining(SteadyTime now);

    boost::asio::io_context &m_context;
    RunnerDirectory &m_directory;
    logging::EventLog &m_log;
    const DispatchSettings m_settings;
    Placer m_placer;
    boost::asio::steady_timer m_timer;
    std::mutex m_mutex;
    std::map<CallKey, RunPtr> m_runs;
    std::map<base::Digest, Equals> m_equals;
    /** Calls that wait for the trial of another of the same digest. */
    std::map<base::Digest, std::vector<RunPtr>> m_waiting;
    SuspectTable m_suspects;
    RetryBudget m_retries;
    CallLimits m_limits;
};

}
