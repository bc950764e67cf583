#include "placement/runnerdirectory.h"

#include <algorithm>
#include <set>

namespace briarhinge::placement
{

namespace
{

/** Weight of the latest call in the exponentially smoothed mean duration. */
constexpr double latestCallWeight = 0.1;

bool serves(const membership::Vm &vm, const base::TargetName &target)
{
    return std::find(vm.serves.begin(), vm.serves.end(), target) != vm.serves.end();
}

}

RunnerDirectory::RunnerDirectory(ChannelFactory makeChannel)
    : m_makeChannel(std::move(makeChannel))
{
}

void RunnerDirectory::update(const std::vector<membership::Vm> &vms)
{
    const std::lock_guard lock(m_mutex);
    std::set<std::string> listed;
    for (const membership::Vm &vm : vms) {
        if (vm.role != "runner") {
            continue;
        }
        listed.insert(vm.name);
        Runner &runner = m_runners[vm.name];
        if (!runner.channel || runner.vm.address != vm.address) {
            runner = Runner{};
            runner.channel = m_makeChannel(vm.address);
        }
        runner.vm = vm;
        runner.view.name = vm.name;
        runner.view.zone = vm.zone;
    }
    std::erase_if(m_runners, [&](const auto &item) {
        return !listed.contains(item.first);
    });
}

std::vector<Candidate> RunnerDirectory::candidates(const base::TargetName &target, SteadyTime now) const
{
    std::vector<Candidate> found;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &[name, runner] : m_runners) {
            if (!runner.vm.leaving && !runner.draining && serves(runner.vm, target)) {
                found.push_back(makeCandidate(runner, now));
            }
        }
    }
    std::sort(found.begin(), found.end(), [](const Candidate &left, const Candidate &right) {
        return left.view.name < right.view.name;
    });
    return found;
}

std::vector<Candidate> RunnerDirectory::all() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<Candidate> found;
    for (const auto &[name, runner] : m_runners) {
        found.push_back(makeCandidate(runner, {}));
    }
    return found;
}

std::vector<Candidate> RunnerDirectory::draining(SteadyTime now) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<Candidate> found;
    for (const auto &[name, runner] : m_runners) {
        if (runner.draining) {
            found.push_back(makeCandidate(runner, now));
        }
    }
    return found;
}

void RunnerDirectory::recordCallSent(const std::string &name)
{
    updateRunner(name, [](Runner &runner) {
        ++runner.view.outstanding;
        ++runner.view.sentSinceReport;
    });
}

void RunnerDirectory::recordCallEnded(const std::string &name, base::Milliseconds duration)
{
    updateRunner(name, [&](Runner &runner) {
        RunnerView &view = runner.view;
        view.outstanding -= std::min<std::uint32_t>(view.outstanding, 1);
        const auto durationMs = static_cast<double>(duration.count());
        if (durationMs > 0) {
            view.meanCallDurationMs = view.meanCallDurationMs == 0
                ? durationMs
                : view.meanCallDurationMs + latestCallWeight * (durationMs - view.meanCallDurationMs);
        }
    });
}

void RunnerDirectory::recordLoadReport(const std::string &name, const wire::LoadReportT &report)
{
    updateRunner(name, [&](Runner &runner) {
        runner.view.reportedLoad = report.running + report.queued;
        runner.view.sentSinceReport = 0;
        runner.view.concurrencyLimit = report.limit;
        runner.view.prefillMsPerToken = report.prefill_ms_per_token;
        runner.draining = report.draining;
    });
}

void RunnerDirectory::recordFailure(const std::string &name, SteadyTime now)
{
    updateRunner(name, [&](Runner &runner) {
        runner.health.recordFailure(now);
        // A process that is restarted at this address is not draining.
        runner.draining = false;
    });
}

void RunnerDirectory::recordRefusal(const std::string &name, base::Milliseconds retryAfter, SteadyTime now)
{
    updateRunner(name, [&](Runner &runner) {
        runner.health.recordRefusal(now, retryAfter);
    });
}

void RunnerDirectory::recordProgress(const std::string &name, SteadyTime now)
{
    updateRunner(name, [&](Runner &runner) {
        runner.health.recordProgress();
        runner.lastProgress = now;
    });
}

SteadyTime RunnerDirectory::lastProgress(const std::string &name) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_runners.find(name);
    return found == m_runners.end() ? SteadyTime{} : found->second.lastProgress;
}

Candidate RunnerDirectory::makeCandidate(const Runner &runner, SteadyTime now)
{
    Candidate candidate{runner.view, runner.channel};
    candidate.view.leaving = runner.vm.leaving || runner.draining;
    candidate.view.avoided = runner.health.isAvoided(now, runner.view.outstanding);
    candidate.view.onProbation = runner.health.isOnProbation();
    return candidate;
}

}
