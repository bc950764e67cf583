#include "placement/runnerdirectory.h"

#include <algorithm>
#include <set>

namespace briarhinge::placement
{

RunnerDirectory::RunnerDirectory(ChannelFactory makeChannel)
    : m_makeChannel(std::move(makeChannel))
{
}

void RunnerDirectory::update(const std::vector<platform::Vm> &vms)
{
    const std::lock_guard lock(m_mutex);
    std::set<std::string> listed;
    for (const platform::Vm &vm : vms) {
        if (vm.role != "runner") {
            continue;
        }
        listed.insert(vm.name);
        Runner &runner = m_runners[vm.name];
        if (!runner.channel || runner.vm.address != vm.address) {
            runner.channel = m_makeChannel(vm.address);
        }
        runner.vm = vm;
        runner.view.name = vm.name;
        runner.view.zone = vm.zone;
        runner.view.leaving = vm.leaving;
    }
    std::erase_if(m_runners, [&](const auto &item) {
        return !listed.contains(item.first);
    });
}

std::vector<Candidate> RunnerDirectory::candidates(const base::TargetName &target) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<Candidate> found;
    for (const auto &[name, runner] : m_runners) {
        const auto &serves = runner.vm.serves;
        if (!runner.view.leaving && std::find(serves.begin(), serves.end(), target) != serves.end()) {
            found.push_back({runner.view, runner.channel});
        }
    }
    return found;
}

std::vector<Candidate> RunnerDirectory::all() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<Candidate> found;
    for (const auto &[name, runner] : m_runners) {
        found.push_back({runner.view, runner.channel});
    }
    return found;
}

void RunnerDirectory::callSent(const std::string &name)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_runners.find(name);
    if (found != m_runners.end()) {
        ++found->second.view.outstanding;
    }
}

void RunnerDirectory::callEnded(const std::string &name)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_runners.find(name);
    if (found != m_runners.end() && found->second.view.outstanding > 0) {
        --found->second.view.outstanding;
    }
}

void RunnerDirectory::loadReported(const std::string &name, const wire::LoadReportT &report)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_runners.find(name);
    if (found != m_runners.end()) {
        found->second.view.reportedBusy = report.running + report.queued;
        found->second.view.leaving = found->second.vm.leaving || report.draining;
    }
}

}
