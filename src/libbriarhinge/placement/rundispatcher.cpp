#include "placement/rundispatcher.h"

#include "logging/eventlog.h"
#include "wire/convert.h"

#include <algorithm>

namespace briarhinge::placement
{

namespace
{

constexpr std::size_t maxAttempts = 3;
constexpr base::Milliseconds retryWhenNoRunner{1000};

std::uint32_t busy(const RunnerView &view)
{
    return std::max(view.outstanding, view.reportedBusy);
}

}

RunDispatcher::RunDispatcher(RunnerDirectory &directory, logging::EventLog &log, base::ZoneName zone)
    : m_directory(directory)
    , m_log(log)
    , m_zone(std::move(zone))
{
}

void RunDispatcher::dispatch(const core::DispatchCall &call, const service::DispatchObserver &observer)
{
    auto attempt = std::make_shared<Attempt>();
    attempt->call = call;
    attempt->observer = observer;
    send(attempt);
}

void RunDispatcher::cancel(const base::ProgramId &program, base::CallNumber number)
{
    Running running;
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_running.find({program, number});
        if (found == m_running.end()) {
            return;
        }
        running = found->second;
    }
    running.channel->cancel(running.requestId);
}

void RunDispatcher::release(const base::ProgramId &program)
{
    std::string home;
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_home.find(program);
        if (found == m_home.end()) {
            return;
        }
        home = found->second;
        m_home.erase(found);
    }
    for (const Candidate &runner : m_directory.all()) {
        if (runner.view.name == home) {
            wire::MessageUnion message;
            wire::ReleaseProgramT release;
            release.program = program.value();
            message.Set(std::move(release));
            runner.channel->ask(std::move(message), [](const wire::ChannelReply &) {});
        }
    }
}

std::optional<Candidate> RunDispatcher::choose(const Attempt &attempt) const
{
    std::vector<Candidate> candidates = m_directory.candidates(attempt.call.request.target);
    std::erase_if(candidates, [&](const Candidate &candidate) {
        return attempt.tried.contains(candidate.view.name);
    });
    if (candidates.empty()) {
        return std::nullopt;
    }
    const auto home = m_home.find(attempt.call.program);
    if (home != m_home.end()) {
        for (const Candidate &candidate : candidates) {
            if (candidate.view.name == home->second) {
                return candidate;
            }
        }
    }
    return *std::min_element(candidates.begin(), candidates.end(), [&](const auto &left, const auto &right) {
        return std::tuple(busy(left.view), left.view.zone != m_zone, left.view.name)
            < std::tuple(busy(right.view), right.view.zone != m_zone, right.view.name);
    });
}

void RunDispatcher::send(const std::shared_ptr<Attempt> &attempt)
{
    std::optional<Candidate> chosen;
    {
        const std::lock_guard lock(m_mutex);
        chosen = choose(*attempt);
        if (chosen && attempt->call.request.kind == core::CallKind::Model) {
            m_home[attempt->call.program] = chosen->view.name;
        }
    }
    if (!chosen) {
        finish(
            attempt,
            core::NotRun{"no runner serves \"" + attempt->call.request.target.value() + "\" now", retryWhenNoRunner});
        return;
    }
    attempt->runner = chosen->view.name;
    attempt->channel = chosen->channel;
    attempt->tried.insert(attempt->runner);
    m_directory.callSent(attempt->runner);
    wire::ExecuteCallT execute = wire::toWire(attempt->call);
    execute.partial = attempt->answerSoFar;
    wire::MessageUnion message;
    message.Set(std::move(execute));
    const std::uint64_t requestId =
        chosen->channel->ask(std::move(message), [this, attempt](const wire::ChannelReply &reply) {
            replied(attempt, reply);
        });
    const std::lock_guard lock(m_mutex);
    if (!attempt->finished) {
        m_running[{attempt->call.program, attempt->call.request.number}] = {chosen->channel, requestId};
    }
}

void RunDispatcher::replied(const std::shared_ptr<Attempt> &attempt, const wire::ChannelReply &reply)
{
    if (const auto *error = std::get_if<wire::ChannelError>(&reply)) {
        m_directory.callEnded(attempt->runner);
        lost(attempt, *error);
        return;
    }
    const wire::MessageUnion &message = std::get<wire::FrameT>(reply).message;
    if (const auto *chunk = message.AsCallChunk()) {
        if (chunk->offset == attempt->answerSoFar.size()) {
            attempt->answerSoFar += chunk->text;
        }
        attempt->observer.chunk(chunk->offset, chunk->text);
    } else if (const auto *result = message.AsCallResult()) {
        m_directory.callEnded(attempt->runner);
        resultArrived(attempt, *result);
    }
}

void RunDispatcher::resultArrived(const std::shared_ptr<Attempt> &attempt, const wire::CallResultT &result)
{
    if (result.load) {
        m_directory.loadReported(attempt->runner, *result.load);
    }
    const core::Outcome outcome = wire::fromWire(result);
    attempt->mayHaveRun = attempt->mayHaveRun || !std::holds_alternative<core::NotRun>(outcome);
    const bool mayGoElsewhere = std::holds_alternative<core::NotRun>(outcome)
        || (std::holds_alternative<core::Unknown>(outcome) && attempt->call.request.idempotent);
    if (mayGoElsewhere && attempt->tried.size() < maxAttempts) {
        m_log.write(logging::events::callRetried,
                    {{"program", attempt->call.program.value()},
                     {"call", attempt->call.request.number.value()},
                     {"runner", attempt->runner},
                     {"reason", core::historyText(outcome)}});
        send(attempt);
        return;
    }
    finish(attempt, outcome);
}

void RunDispatcher::lost(const std::shared_ptr<Attempt> &attempt, const wire::ChannelError &error)
{
    m_log.write(logging::events::upstreamFailed, {{"runner", attempt->runner}, {"reason", error.reason}});
    attempt->mayHaveRun = attempt->mayHaveRun || error.mayHaveLeft;
    const bool mayGoElsewhere = !error.mayHaveLeft || attempt->call.request.idempotent;
    if (mayGoElsewhere && attempt->tried.size() < maxAttempts) {
        send(attempt);
        return;
    }
    if (!error.mayHaveLeft) {
        finish(attempt, core::NotRun{error.reason, retryWhenNoRunner});
        return;
    }
    finish(attempt, core::Unknown{"the connection to runner \"" + attempt->runner + "\" was lost: " + error.reason});
}

void RunDispatcher::finish(const std::shared_ptr<Attempt> &attempt, const core::Outcome &outcome)
{
    {
        const std::lock_guard lock(m_mutex);
        attempt->finished = true;
        m_running.erase({attempt->call.program, attempt->call.request.number});
    }
    if (attempt->mayHaveRun && std::holds_alternative<core::NotRun>(outcome)) {
        attempt->observer.ended(core::Unknown{"an earlier attempt may have run; " + core::historyText(outcome)});
        return;
    }
    attempt->observer.ended(outcome);
}

}
