#pragma once

#include "core/step.h"
#include "membership/vmlist.h"
#include "placement/runnerhealth.h"
#include "placement/runnerview.h"
#include "wire/framechannel.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace briarhinge::placement
{

/** A runner process that a call can be sent to. */
struct Candidate
{
    RunnerView view;
    std::shared_ptr<wire::FrameChannel> channel;
};

/**
 * The runner processes of the deployment, with their load and health as seen by this entry. The VM list lags, so it is
 * corrected by connection failures and by the load reports in replies.
 */
class RunnerDirectory
{
public:
    using ChannelFactory = std::function<std::shared_ptr<wire::FrameChannel>(const wire::Address &)>;

    /** @param makeChannel creates the connection to a runner process */
    explicit RunnerDirectory(ChannelFactory makeChannel);

    /**
     * Updates the runners from the VM list.
     *
     * @param vms all VMs; those without the runner role are ignored
     */
    void update(const std::vector<membership::Vm> &vms);

    /**
     * @param target a model or tool
     * @param now the current time
     * @return the runners that serve the target and are not leaving, sorted by name
     */
    std::vector<Candidate> candidates(const base::TargetName &target, SteadyTime now) const;

    /** @return all runners, including those that are leaving */
    std::vector<Candidate> all() const;

    /**
     * @param now the current time
     * @return the runners that reported that they are draining; a runner may have been restarted since
     */
    std::vector<Candidate> draining(SteadyTime now) const;

    /**
     * Records a call sent to a runner.
     *
     * @param name name of the runner
     */
    void recordCallSent(const std::string &name);

    /**
     * Records that a call ended on a runner.
     *
     * @param name name of the runner
     * @param duration duration of the call in milliseconds; zero excludes it from the mean
     */
    void recordCallEnded(const std::string &name, base::Milliseconds duration);

    /**
     * Applies a load report.
     *
     * @param name name of the runner
     * @param report the load that the runner reported
     */
    void recordLoadReport(const std::string &name, const wire::LoadReportT &report);

    /**
     * Records a failed connection to a runner or a call that stalled there.
     *
     * @param name name of the runner
     * @param now the current time
     */
    void recordFailure(const std::string &name, SteadyTime now);

    /**
     * Records that a runner refused a call.
     *
     * @param name name of the runner
     * @param retryAfter delay that the runner asked for, in milliseconds
     * @param now the current time
     */
    void recordRefusal(const std::string &name, base::Milliseconds retryAfter, SteadyTime now);

    /**
     * Records that a call made progress on a runner.
     *
     * @param name name of the runner
     * @param now the current time
     */
    void recordProgress(const std::string &name, SteadyTime now);

    /**
     * @param name name of a runner
     * @return the last time a call made progress there; the epoch of the clock when none did or the runner is unknown
     */
    SteadyTime lastProgress(const std::string &name) const;

private:
    struct Runner
    {
        membership::Vm vm;
        RunnerView view;
        RunnerHealth health;
        /** Whether the runner process reported that it is draining. */
        bool draining = false;
        SteadyTime lastProgress;
        std::shared_ptr<wire::FrameChannel> channel;
    };

    template <class Change>
    void updateRunner(const std::string &name, Change apply)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_runners.find(name);
        if (found != m_runners.end()) {
            apply(found->second);
        }
    }

    static Candidate makeCandidate(const Runner &runner, SteadyTime now);

    ChannelFactory m_makeChannel;
    mutable std::mutex m_mutex;
    std::unordered_map<std::string, Runner> m_runners;
};

}
