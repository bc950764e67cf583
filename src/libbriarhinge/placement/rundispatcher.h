#pragma once

#include "placement/runnerdirectory.h"
#include "service/concepts.h"

#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace briarhinge::logging
{
class EventLog;
}

namespace briarhinge::placement
{

/** Places calls on runner processes, follows them, and tries idempotent ones again elsewhere. */
class RunDispatcher
{
public:
    /** @param directory the runners @param log gets retries and failures @param zone where this entry is */
    RunDispatcher(RunnerDirectory &directory, logging::EventLog &log, base::ZoneName zone);

    /** Runs a call. @param call what to run @param observer is told of each piece and of the end */
    void dispatch(const core::DispatchCall &call, const service::DispatchObserver &observer);

    /** Stops a call that is under way, if it is. @param program its program @param number its number */
    void cancel(const base::ProgramId &program, base::CallNumber number);

    /** Lets go of what engines hold for a program. @param program the program */
    void release(const base::ProgramId &program);

private:
    using CallKey = std::pair<base::ProgramId, base::CallNumber>;

    /** One call on its way through attempts. */
    struct Attempt
    {
        core::DispatchCall call;
        service::DispatchObserver observer;
        std::set<std::string> tried;
        std::string answerSoFar;
        std::string runner;
        std::shared_ptr<wire::FrameChannel> channel;
        /** Whether an attempt so far may have reached an upstream: NotRun is no honest end any more. */
        bool mayHaveRun = false;
        bool finished = false;
    };

    struct Running
    {
        std::shared_ptr<wire::FrameChannel> channel;
        std::uint64_t requestId = 0;
    };

    void send(const std::shared_ptr<Attempt> &attempt);
    void replied(const std::shared_ptr<Attempt> &attempt, const wire::ChannelReply &reply);
    void resultArrived(const std::shared_ptr<Attempt> &attempt, const wire::CallResultT &result);
    void lost(const std::shared_ptr<Attempt> &attempt, const wire::ChannelError &error);
    void finish(const std::shared_ptr<Attempt> &attempt, const core::Outcome &outcome);
    std::optional<Candidate> choose(const Attempt &attempt) const;

    RunnerDirectory &m_directory;
    logging::EventLog &m_log;
    const base::ZoneName m_zone;
    std::mutex m_mutex;
    std::map<CallKey, Running> m_running;
    /** The runner that ran the last model call of a program. */
    std::map<base::ProgramId, std::string> m_home;
};

}
