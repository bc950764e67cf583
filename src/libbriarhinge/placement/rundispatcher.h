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

/** Settings of a RunDispatcher. */
struct DispatchSettings
{
    base::ZoneName zone;
    /** Name of this entry, as sent to runners. */
    std::string entryName;
    /** Number of runners probed for their load before a new program is placed; 0 and 1 disable probing. */
    std::size_t probeCount = 2;
    /** Number of retries per call on average. */
    double retriesPerCall = 0.1;
    /** An idempotent call is retried elsewhere when neither it nor its runner made progress for this time. */
    base::Milliseconds stallTimeout{2000};
    /** Maximum duration of a call with all its attempts. */
    base::Milliseconds callTimeout{600'000};
    /** A new program is refused beyond this expected queue wait unless a call of a lower priority is in flight. */
    base::Milliseconds maxNewProgramWait{3000};
    /** Whether the runners order calls by priority and attained service instead of by arrival. */
    bool ordersByService = true;
    CallBounds callBounds;
};

/** Places calls on runner processes, monitors their progress, and retries idempotent calls on other runners. */
class RunDispatcher
{
public:
    /**
     * @param context runs the timers
     * @param directory the runners of the deployment
     * @param log receives retries and failures
     * @param policy chooses among the eligible runners
     * @param settings limits and timeouts
     */
    RunDispatcher(boost::asio::io_context &context, RunnerDirectory &directory, logging::EventLog &log,
                  ConfiguredPolicy policy, DispatchSettings settings);

    /**
     * Runs a call.
     *
     * @param call the call
     * @param observer notified of each chunk and of the outcome
     */
    void dispatch(const core::DispatchCall &call, const service::DispatchObserver &observer);

    /**
     * Cancels a call. Does nothing when the call is not in flight.
     *
     * @param program the program of the call
     * @param number the number of the call
     */
    void cancel(const base::ProgramId &program, base::CallNumber number);

    /**
     * Releases the cache that engines hold for a program.
     *
     * @param program the program
     */
    void release(const base::ProgramId &program);

private:
    using CallKey = std::pair<base::ProgramId, base::CallNumber>;
    using RunPtr = std::shared_ptr<CallRun>;
    using AttemptPtr = std::shared_ptr<Attempt>;

    /**
     * The calls in flight that share a digest. They are all placed on one runner, so that a request that crashes its
     * upstream takes down only one.
     */
    struct DigestGroup
    {
        std::size_t count = 0;
        std::string runner;
    };

    void start(const RunPtr &run);
    void place(const RunPtr &run);
    void probeAndPlace(const RunPtr &run, const std::vector<Candidate> &targets);
    void placeNow(const RunPtr &run);
    bool isOverloaded(const CallRun &run, const Placement &placement);
    Placement choosePlacement(const CallRun &run, const std::vector<Candidate> &candidates);
    void placeLater(const RunPtr &run, base::Milliseconds delay);
    std::vector<Candidate> eligibleRunners(CallRun &run) const;
    void send(const RunPtr &run, const Placement &placement);
    wire::ExecuteCallT makeExecuteCall(const CallRun &run) const;

    void handleReply(const RunPtr &run, const AttemptPtr &attempt, const wire::ChannelReply &reply);
    void handleChunk(const RunPtr &run, const AttemptPtr &attempt, const wire::CallChunkT &chunk);
    void handleResult(const RunPtr &run, const AttemptPtr &attempt, const wire::CallResultT &result);
    void recordResult(const Attempt &attempt, const wire::CallResultT &result);
    void handleConnectionLoss(const RunPtr &run, const AttemptPtr &attempt, const wire::ChannelError &error);
    void handleUpstreamCrash(const RunPtr &run, const AttemptPtr &attempt, const core::Outcome &outcome);
    void querySuspectState(const RunPtr &run);
    void handleSuspectState(const RunPtr &run, bool isQuarantined, bool mustWait);
    bool recordCrashes(const CallRun &run, const std::vector<std::string> &runners);
    void clearSuspect(const base::Digest &digest);
    void quarantine(const RunPtr &run);
    static core::Outcome quarantineOutcome(CallRun &run);
    void retryElsewhere(const RunPtr &run, const AttemptPtr &attempt, const core::Outcome &outcome);
    bool consumeRetry();
    void finishWithoutRunner(const RunPtr &run);
    void finish(const RunPtr &run, core::Outcome outcome);
    void endTrial(const CallRun &run, const core::Outcome &outcome);
    void resumeWaiting(const base::Digest &digest);

    void scheduleTick();
    void tick();
    void checkProgress(const RunPtr &run, SteadyTime now);
    bool isStalled(const CallRun &run, SteadyTime now) const;
    void probeDraining(SteadyTime now);

    boost::asio::io_context &m_context;
    RunnerDirectory &m_directory;
    logging::EventLog &m_log;
    const DispatchSettings m_settings;
    Placer m_placer;
    boost::asio::steady_timer m_timer;
    std::mutex m_mutex;
    std::map<CallKey, RunPtr> m_runs;
    std::map<base::Digest, DigestGroup> m_digestGroups;
    /** Calls that wait until another call with the same digest ends its trial. */
    std::map<base::Digest, std::vector<RunPtr>> m_waitingForTrial;
    SuspectTable m_suspects;
    RetryBudget m_retries;
    CallLimits m_limits;
};

}
