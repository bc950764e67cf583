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

/** A runner process that a call may be sent to. */
struct Candidate
{
    RunnerView view;
    std::shared_ptr<wire::FrameChannel> channel;
};

/**
 * The runner processes of the deployment, with what this entry knows of their load and health: the VM list, which lags,
 * corrected by what connections and replies say.
 */
class RunnerDirectory
{
public:
    using ChannelFactory = std::function<std::shared_ptr<wire::FrameChannel>(const wire::Address &)>;

    /** @param makeChannel makes the connection to a runner process */
    explicit RunnerDirectory(ChannelFactory makeChannel);

    /** Takes in the VM list. @param vms every VM; those that are no runners are passed over */
    void update(const std::vector<membership::Vm> &vms);

    /**
     * @param target a model or tool
     * @param now the time
     * @return the runners that serve it and are not leaving, in the order of their names
     */
    std::vector<Candidate> candidates(const base::TargetName &target, SteadyTime now) const;

    /** @return every runner */
    std::vector<Candidate> all() const;

    /** @param now the time @return the runners that say that they are draining; one may have started again */
    std::vector<Candidate> draining(SteadyTime now) const;

    /** Notes a call sent to a runner. @param name the runner */
    void callSent(const std::string &name);

    /**
     * Notes a call that ended at a runner.
     *
     * @param name the runner
     * @param took time since it was sent; zero leaves it out of the mean
     */
    void callEnded(const std::string &name, base::Milliseconds took);

    /** Takes in a load report. @param name the runner @param report its load */
    void loadReported(const std::string &name, const wire::LoadReportT &report);

    /** The connection to a runner failed, or a call stood still there. @param name the runner @param now the time */
    void failed(const std::string &name, SteadyTime now);

    /** A runner refused a call. @param name the runner @param retryAfter when to come back @param now the time */
    void refused(const std::string &name, base::Milliseconds retryAfter, SteadyTime now);

    /** A call made progress at a runner. @param name the runner @param now the time */
    void progressed(const std::string &name, SteadyTime now);

    /** @param name a runner @return when a call last made progress there */
    SteadyTime lastProgress(const std::string &name) const;

private:
    struct Runner
    {
        membership::Vm vm;
        RunnerView view;
        RunnerHealth health;
        /** The runner process itself said so. */
        bool draining = false;
        SteadyTime lastProgress;
        std::shared_ptr<wire::FrameChannel> channel;
    };

    template <class Change>
    void change(const std::string &name, Change apply)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_runners.find(name);
        if (found != m_runners.end()) {
            apply(found->second);
        }
    }

    static Candidate candidateOf(const Runner &runner, SteadyTime now);

    ChannelFactory m_makeChannel;
    mutable std::mutex m_mutex;
    std::unordered_map<std::string, Runner> m_runners;
};

}
