#pragma once

#include "core/step.h"
#include "platform/vmlist.h"
#include "wire/framechannel.h"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace briarhinge::placement
{

/** A runner process as this entry knows it. */
struct RunnerView
{
    std::string name;
    base::ZoneName zone;
    bool leaving = false;
    /** Calls that this entry has under way there. */
    std::uint32_t outstanding = 0;
    /** As last reported by the runner process. */
    std::uint32_t reportedBusy = 0;
};

/** A runner process that a call may be sent to. */
struct Candidate
{
    RunnerView view;
    std::shared_ptr<wire::FrameChannel> channel;
};

/** The runner processes of the deployment, with what this entry knows of their load. */
class RunnerDirectory
{
public:
    using ChannelFactory = std::function<std::shared_ptr<wire::FrameChannel>(const wire::Address &)>;

    /** @param makeChannel makes the connection to a runner process */
    explicit RunnerDirectory(ChannelFactory makeChannel);

    /** Takes in the VM list. @param vms every VM; those that are no runners are passed over */
    void update(const std::vector<platform::Vm> &vms);

    /** @param target a model or tool @return the runners that serve it and are not leaving */
    std::vector<Candidate> candidates(const base::TargetName &target) const;

    /** @return every runner */
    std::vector<Candidate> all() const;

    /** Notes a call sent to a runner. @param name the runner */
    void callSent(const std::string &name);

    /** Notes a call that ended at a runner. @param name the runner */
    void callEnded(const std::string &name);

    /** Takes in a load report. @param name the runner @param report its load */
    void loadReported(const std::string &name, const wire::LoadReportT &report);

private:
    struct Runner
    {
        platform::Vm vm;
        RunnerView view;
        std::shared_ptr<wire::FrameChannel> channel;
    };

    ChannelFactory m_makeChannel;
    mutable std::mutex m_mutex;
    std::unordered_map<std::string, Runner> m_runners;
};

}
