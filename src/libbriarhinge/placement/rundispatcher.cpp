#include "placement/rundispatcher.h"

#include "logging/eventlog.h"
#include "wire/convert.h"

#include <algorithm>
#include <atomic>

namespace briarhinge::placement
{

namespace
{

using Clock = std::chrono::steady_clock;

constexpr std::size_t maxAttempts = 4;
constexpr double retryBurst = 20;
constexpr base::Milliseconds noRunnerRetryDelay{1000};
constexpr base::Milliseconds limitedRetryDelay{250};
constexpr base::Milliseconds initialBackoff{20};
constexpr base::Milliseconds tickInterval{100};
/** Maximum wait for the state of a suspect request on the runners. */
constexpr base::Milliseconds suspectCheckTimeout{1000};
constexpr base::Milliseconds suspectCheckInterval{100};
/** A suspect runs alone on its upstream, so a second crash is its own. */
constexpr SuspectLimits suspectLimits{2};
/** Maximum wait for load reports before a program is placed. */
constexpr base::Milliseconds probeTimeout{20};
/** A call counts as stalled only after this many times its expected time, because the estimate is rough. */
constexpr int stallTimeFactor = 4;

PlacementRequest makePlacementRequest(const core::DispatchCall &call)
{
    const bool isModelCall = call.request.kind == core::CallKind::Model;
    return {call.program, isModelCall, base::Tokens(call.prompt.size() / bytesPerToken),
            isModelCall ? prefixChain(call.prompt) : PrefixChain{}};
}

/** The content of a model call. */
RequestContent promptContent(const core::DispatchCall &call)
{
    return {call.request.target.value(), {}, call.prompt, true};
}

/** The digest covers the prompt but not the program: a crashing request may be resent as another program. */
base::Digest requestDigest(const core::DispatchCall &call)
{
    return call.request.kind == core::CallKind::Tool ? core::bodyDigest(call.request)
                                                     : contentDigest(promptContent(call));
}

CrashedRequest toCrashedRequest(const CallRun &run)
{
    return run.call.request.kind == core::CallKind::Tool ? CrashedRequest{run.digest, run.call.prompt.size(), false}
                                                         : crashedRequest(promptContent(run.call));
}

base::Milliseconds millisecondsBetween(SteadyTime from, SteadyTime to)
{
    return std::chrono::duration_cast<base::Milliseconds>(to - from);
}

bool hasCompleted(const core::Outcome &outcome)
{
    return std::holds_alternative<core::Completed>(outcome);
}

/** A round of load probes before a call is placed. It ends with the last reply or at the timeout. */
struct ProbeRound
{
    std::atomic<std::size_t> pending;
    std::atomic<bool> isDone{false};
};

/** The state of a suspect request on all runners of its target, collected before the request runs alone. */
struct SuspectQuery
{
    std::mutex mutex;
    std::atomic<bool> isDone{false};
    std::size_t pending = 0;
    /** Runners whose upstream crashed while the request ran. */
    std::vector<std::string> crashedRunners;
    bool quarantined = false;
    /** Whether a request with the same digest waits or runs on any of the runners. */
    bool present = false;
    /** The runner that decides which entry may run the request: the first by name among those that replied. */
    std::string decidingRunner;
    /** Name of the entry that may run the request, according to the deciding runner. */
    std::string holder;

    void merge(const std::string &runner, const wire::SuspectStateT *state)
    {
        if (state == nullptr) {
            return;
        }
        if (state->crashed) {
            crashedRunners.push_back(runner);
        }
        quarantined = quarantined || state->quarantined;
        present = present || state->present;
        if (decidingRunner.empty() || runner < decidingRunner) {
            decidingRunner = runner;
            holder = state->holder;
        }
    }
};

}

RunDispatcher::RunDispatcher(boost::asio::io_context &context, RunnerDirectory &directory, logging::EventLog &log,
                             ConfiguredPolicy policy, DispatchSettings settings)
    : m_context(context)
    , m_directory(directory)
    , m_log(log)
    , m_settings(std::move(settings))
    , m_placer(policy, m_settings.zone)
    , m_timer(context)
    , m_suspects(suspectLimits)
    , m_retries(m_settings.retriesPerCall, retryBurst)
    , m_limits(m_settings.callBounds)
{
    scheduleTick();
}

void RunDispatcher::dispatch(const core::DispatchCall &call, const service::DispatchObserver &observer)
{
    const CallSource source{call.account, core::rootProgramId(call.program), call.priority};
    const auto run = std::make_shared<CallRun>(call, observer, makePlacementRequest(call), requestDigest(call), source,
                                               Clock::now());
    std::optional<std::string> refusal;
    {
        const std::lock_guard lock(m_mutex);
        refusal = m_limits.admit(source);
        if (!refusal) {
            m_retries.callStarted();
            m_runs[{call.program, call.request.number}] = run;
            ++m_digestGroups[run->digest].count;
        }
    }
    if (refusal) {
        m_log.write(logging::events::callLimited,
                    {{"program", call.program.value()}, {"call", call.request.number.value()}, {"reason", *refusal}});
        observer.ended(core::NotRun{*refusal, limitedRetryDelay});
        return;
    }
    start(run);
}

void RunDispatcher::cancel(const base::ProgramId &program, base::CallNumber number)
{
    RunPtr run;
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_runs.find({program, number});
        if (found == m_runs.end()) {
            return;
        }
        run = found->second;
    }
    bool isSent = false;
    {
        const std::lock_guard lock(run->mutex);
        run->cancelled = true;
        isSent = run->attempt != nullptr;
        if (isSent) {
            run->attempt->channel->cancel(run->attempt->requestId);
        }
    }
    if (!isSent) {
        finish(run, core::NotRun{"the call was cancelled", std::nullopt});
    }
}

void RunDispatcher::release(const base::ProgramId &program)
{
    const auto home = m_placer.release(program);
    if (!home) {
        return;
    }
    for (const Candidate &runner : m_directory.all()) {
        if (runner.view.name == *home) {
            wire::MessageUnion message;
            wire::ReleaseProgramT release;
            release.program = program.value();
            message.Set(std::move(release));
            runner.channel->sendRequest(std::move(message), [](const wire::ChannelReply &) {});
        }
    }
}

void RunDispatcher::start(const RunPtr &run)
{
    SuspectVerdict verdict = SuspectVerdict::Clear;
    {
        const std::scoped_lock lock(run->mutex, m_mutex);
        verdict = run->call.request.kind == core::CallKind::Model
            ? m_suspects.admit(promptContent(run->call), Clock::now())
            : m_suspects.admit(run->digest, Clock::now());
        run->isOnTrial = verdict == SuspectVerdict::RunAlone;
        if (verdict == SuspectVerdict::Wait) {
            m_waitingForTrial[run->digest].push_back(run);
        }
    }
    if (verdict == SuspectVerdict::Quarantined) {
        finish(run, quarantineOutcome(*run));
    } else if (verdict == SuspectVerdict::RunAlone) {
        querySuspectState(run);
    } else if (verdict == SuspectVerdict::Clear) {
        place(run);
    }
}

void RunDispatcher::place(const RunPtr &run)
{
    const std::vector<Candidate> candidates = eligibleRunners(*run);
    const auto targets = m_placer.probeTargets(run->placementRequest, candidates, m_settings.probeCount);
    if (targets.empty()) {
        placeNow(run);
    } else {
        probeAndPlace(run, targets);
    }
}

void RunDispatcher::probeAndPlace(const RunPtr &run, const std::vector<Candidate> &targets)
{
    auto round = std::make_shared<ProbeRound>();
    round->pending = targets.size();
    const auto proceed = [this, run, round] {
        if (!round->isDone.exchange(true)) {
            placeNow(run);
        }
    };
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context, probeTimeout);
    timer->async_wait([proceed](boost::system::error_code cancelled) {
        if (!cancelled) {
            proceed();
        }
    });
    for (const Candidate &candidate : targets) {
        wire::MessageUnion message;
        wire::ProbeT probe;
        probe.program = run->call.program.value();
        message.Set(std::move(probe));
        candidate.channel->sendRequest(
            std::move(message),
            [this, name = candidate.view.name, round, proceed, timer](const wire::ChannelReply &reply) {
                if (const auto *frame = std::get_if<wire::FrameT>(&reply)) {
                    if (const auto *load = frame->message.AsLoadReport()) {
                        m_directory.recordLoadReport(name, *load);
                    }
                } else {
                    m_directory.recordFailure(name, Clock::now());
                }
                if (--round->pending == 0) {
                    boost::asio::post(m_context, [timer] {
                        timer->cancel();
                    });
                    proceed();
                }
            });
    }
}

void RunDispatcher::placeNow(const RunPtr &run)
{
    const std::vector<Candidate> candidates = eligibleRunners(*run);
    if (candidates.empty()) {
        finishWithoutRunner(run);
        return;
    }
    const Placement placement = choosePlacement(*run, candidates);
    if (isOverloaded(*run, placement)) {
        const std::string reason = "all runners of \"" + run->call.request.target.value() + "\" are busy";
        m_log.write(logging::events::callLimited,
                    {{"program", run->call.program.value()},
                     {"call", run->call.request.number.value()},
                     {"reason", reason},
                     {"expectedWaitMs", placement.expectedQueueWait.count()}});
        finish(run, core::NotRun{reason, placement.expectedQueueWait});
        return;
    }
    send(run, placement);
}

bool RunDispatcher::isOverloaded(const CallRun &run, const Placement &placement)
{
    // A program that has started occupies cache and has cost its caller time; refusing a new one wastes nothing.
    const bool isNew =
        placement.isFirstModelCall && run.call.request.number.value() == 1 && !core::parentProgramId(run.call.program);
    if (!isNew || placement.expectedQueueWait <= m_settings.maxNewProgramWait) {
        return false;
    }
    const std::lock_guard lock(m_mutex);
    return !m_limits.outranksAny(run.call.priority);
}

Placement RunDispatcher::choosePlacement(const CallRun &run, const std::vector<Candidate> &candidates)
{
    const std::lock_guard lock(m_mutex);
    const auto group = m_digestGroups.find(run.digest);
    if (group == m_digestGroups.end()) {
        return m_placer.place(run.placementRequest, candidates);
    }
    for (const Candidate &candidate : candidates) {
        if (candidate.view.name == group->second.runner) {
            return m_placer.place(run.placementRequest, {candidate});
        }
    }
    Placement placement = m_placer.place(run.placementRequest, candidates);
    group->second.runner = placement.runner.view.name;
    return placement;
}

void RunDispatcher::placeLater(const RunPtr &run, base::Milliseconds delay)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context, delay);
    timer->async_wait([this, run, timer](boost::system::error_code) {
        place(run);
    });
}

std::vector<Candidate> RunDispatcher::eligibleRunners(CallRun &run) const
{
    std::vector<Candidate> candidates = m_directory.candidates(run.call.request.target, Clock::now());
    {
        const std::lock_guard lock(run.mutex);
        if (run.triedRunners.size() >= maxAttempts) {
            return {};
        }
        std::erase_if(candidates, [&](const Candidate &candidate) {
            return run.triedRunners.contains(candidate.view.name);
        });
    }
    const auto isUnfit = [&](const Candidate &candidate) {
        return candidate.view.avoided || (candidate.view.onProbation && !run.call.request.idempotent);
    };
    if (!std::all_of(candidates.begin(), candidates.end(), isUnfit)) {
        std::erase_if(candidates, isUnfit);
    }
    return candidates;
}

void RunDispatcher::send(const RunPtr &run, const Placement &placement)
{
    bool wasCancelled = false;
    {
        const std::lock_guard lock(run->mutex);
        if (run->finished) {
            return;
        }
        wasCancelled = run->cancelled;
        if (!wasCancelled) {
            const auto attempt = std::make_shared<Attempt>();
            attempt->runner = placement.runner.view.name;
            {
                const std::lock_guard tableLock(m_mutex);
                attempt->crash = m_suspects.nextCrash(attempt->runner, 0);
            }
            attempt->channel = placement.runner.channel;
            attempt->sentAt = Clock::now();
            attempt->lastProgress = attempt->sentAt;
            attempt->expectedCachedTokens = placement.expectedCachedTokens;
            attempt->expectedTimeToFirstToken = placement.expectedTimeToFirstToken;
            run->attempt = attempt;
            run->triedRunners.insert(attempt->runner);
            m_directory.recordCallSent(attempt->runner);
            m_placer.recordSent(run->placementRequest, attempt->runner);
            wire::MessageUnion message;
            message.Set(makeExecuteCall(*run));
            attempt->requestId = attempt->channel->sendRequest(std::move(message),
                                                               [this, run, attempt](const wire::ChannelReply &reply) {
                                                                   handleReply(run, attempt, reply);
                                                               });
        }
    }
    if (wasCancelled) {
        finish(run, core::NotRun{"the call was cancelled", std::nullopt});
    }
}

wire::ExecuteCallT RunDispatcher::makeExecuteCall(const CallRun &run) const
{
    wire::ExecuteCallT execute = wire::toWire(run.call);
    execute.body_digest = run.digest.value();
    execute.partial = run.partialAnswer;
    execute.suspect = run.isOnTrial;
    if (!m_settings.ordersByService) {
        execute.priority = 0;
        execute.attained_tokens = 0;
    }
    return execute;
}

void RunDispatcher::handleReply(const RunPtr &run, const AttemptPtr &attempt, const wire::ChannelReply &reply)
{
    if (const auto *error = std::get_if<wire::ChannelError>(&reply)) {
        m_directory.recordCallEnded(attempt->runner, base::Milliseconds(0));
        m_directory.recordFailure(attempt->runner, Clock::now());
        handleConnectionLoss(run, attempt, *error);
        return;
    }
    const wire::MessageUnion &message = std::get<wire::FrameT>(reply).message;
    if (const auto *chunk = message.AsCallChunk()) {
        handleChunk(run, attempt, *chunk);
    } else if (const auto *result = message.AsCallResult()) {
        recordResult(*attempt, *result);
        handleResult(run, attempt, *result);
    }
}

void RunDispatcher::handleChunk(const RunPtr &run, const AttemptPtr &attempt, const wire::CallChunkT &chunk)
{
    const SteadyTime now = Clock::now();
    m_directory.recordProgress(attempt->runner, now);
    {
        const std::lock_guard lock(run->mutex);
        if (run->attempt != attempt || run->finished) {
            return;
        }
        attempt->lastProgress = now;
        if (!attempt->firstChunkAt) {
            attempt->firstChunkAt = now;
        }
        if (chunk.offset == run->partialAnswer.size()) {
            run->partialAnswer += chunk.text;
        }
    }
    run->observer.chunk(chunk.offset, chunk.text);
}

void RunDispatcher::recordResult(const Attempt &attempt, const wire::CallResultT &result)
{
    const SteadyTime now = Clock::now();
    // The time before the first chunk is queueing and does not count towards the duration of the call.
    const SteadyTime from = attempt.firstChunkAt.value_or(attempt.sentAt);
    const bool completed = result.outcome == wire::OutcomeKind::Completed;
    m_directory.recordCallEnded(attempt.runner, completed ? millisecondsBetween(from, now) : base::Milliseconds(0));
    if (result.load) {
        m_directory.recordLoadReport(attempt.runner, *result.load);
    }
    if (completed) {
        m_directory.recordProgress(attempt.runner, now);
        m_placer.recordCachedTokens(attempt.runner, attempt.expectedCachedTokens, base::Tokens(result.cached_tokens));
    }
}

void RunDispatcher::handleResult(const RunPtr &run, const AttemptPtr &attempt, const wire::CallResultT &result)
{
    const core::Outcome outcome = wire::fromWire(result);
    bool wasCancelled = false;
    {
        const std::lock_guard lock(run->mutex);
        if (run->attempt != attempt || run->finished) {
            return;
        }
        run->mayHaveRun = run->mayHaveRun || !std::holds_alternative<core::NotRun>(outcome);
        wasCancelled = run->cancelled;
    }
    if (wasCancelled) {
        finish(run, outcome);
    } else if (result.quarantined) {
        quarantine(run);
    } else if (result.suspect) {
        handleUpstreamCrash(run, attempt, outcome);
    } else {
        retryElsewhere(run, attempt, outcome);
    }
}

void RunDispatcher::retryElsewhere(const RunPtr &run, const AttemptPtr &attempt, const core::Outcome &outcome)
{
    const auto *refusal = std::get_if<core::NotRun>(&outcome);
    const bool isUnknown = std::holds_alternative<core::Unknown>(outcome);
    if (refusal != nullptr && refusal->retryAfter) {
        m_directory.recordRefusal(attempt->runner, *refusal->retryAfter, Clock::now());
        const std::lock_guard lock(run->mutex);
        run->retryAfter = std::min(run->retryAfter.value_or(*refusal->retryAfter), *refusal->retryAfter);
    }
    const bool mayRetryElsewhere = (refusal != nullptr && refusal->retryAfter)
        || (isUnknown && run->mayRetry() && !eligibleRunners(*run).empty() && consumeRetry());
    if (!mayRetryElsewhere) {
        finish(run, outcome);
        return;
    }
    if (refusal != nullptr && eligibleRunners(*run).empty()) {
        finish(run, core::NotRun{refusal->reason, run->retryAfter});
        return;
    }
    m_log.write(logging::events::callRetried,
                {{"program", run->call.program.value()},
                 {"call", run->call.request.number.value()},
                 {"runner", attempt->runner},
                 {"reason", core::historyText(outcome)}});
    if (isUnknown) {
        placeLater(run, initialBackoff * (1U << run->triedRunners.size()));
    } else {
        place(run);
    }
}

void RunDispatcher::handleConnectionLoss(const RunPtr &run, const AttemptPtr &attempt, const wire::ChannelError &error)
{
    m_log.write(logging::events::upstreamFailed, {{"runner", attempt->runner}, {"reason", error.reason}});
    {
        const std::lock_guard lock(run->mutex);
        if (run->attempt != attempt || run->finished) {
            return;
        }
        run->mayHaveRun = run->mayHaveRun || error.mayHaveBeenSent;
    }
    if (!error.mayHaveBeenSent) {
        retryElsewhere(run, attempt, core::NotRun{error.reason, noRunnerRetryDelay});
        return;
    }
    retryElsewhere(run, attempt,
                   core::Unknown{"the connection to runner \"" + attempt->runner + "\" was lost: " + error.reason});
}

void RunDispatcher::handleUpstreamCrash(const RunPtr &run, const AttemptPtr &attempt, const core::Outcome &outcome)
{
    m_placer.invalidateCache(attempt->runner);
    m_directory.recordFailure(attempt->runner, Clock::now());
    bool isQuarantined = false;
    {
        const std::scoped_lock lock(run->mutex, m_mutex);
        if (run->isOnTrial) {
            m_suspects.endTrial(run->digest, false);
        }
        m_suspects.recordCrash({attempt->crash, {toCrashedRequest(*run)}}, Clock::now());
        isQuarantined = m_suspects.isQuarantined(run->digest);
    }
    m_log.write(logging::events::callSuspected,
                {{"program", run->call.program.value()},
                 {"call", run->call.request.number.value()},
                 {"runner", attempt->runner},
                 {"digest", run->digest.value()},
                 {"quarantined", isQuarantined}});
    if (isQuarantined) {
        quarantine(run);
    } else if (run->mayRetry()) {
        start(run);
    } else {
        finish(run, outcome);
    }
}

void RunDispatcher::querySuspectState(const RunPtr &run)
{
    const auto query = std::make_shared<SuspectQuery>();
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_context, suspectCheckTimeout);
    const auto finishQuery = [this, run, query, timer] {
        if (query->isDone.exchange(true)) {
            return;
        }
        const std::lock_guard lock(query->mutex);
        const bool isQuarantined = query->quarantined || recordCrashes(*run, query->crashedRunners);
        handleSuspectState(run, isQuarantined, query->present || query->holder != m_settings.entryName);
    };
    const std::vector<Candidate> runners = m_directory.candidates(run->call.request.target, Clock::now());
    query->pending = runners.size();
    query->holder = m_settings.entryName;
    timer->async_wait([finishQuery](boost::system::error_code) {
        finishQuery();
    });
    for (const Candidate &runner : runners) {
        wire::SuspectCheckT check;
        check.digest = run->digest.value();
        check.holder = m_settings.entryName;
        wire::MessageUnion message;
        message.Set(std::move(check));
        runner.channel->sendRequest(std::move(message),
                                    [query, timer, name = runner.view.name](const wire::ChannelReply &reply) {
                                        const std::lock_guard lock(query->mutex);
                                        if (const auto *frame = std::get_if<wire::FrameT>(&reply)) {
                                            query->merge(name, frame->message.AsSuspectState());
                                        }
                                        if (--query->pending == 0) {
                                            timer->cancel();
                                        }
                                    });
    }
}

void RunDispatcher::handleSuspectState(const RunPtr &run, bool isQuarantined, bool mustWait)
{
    if (isQuarantined) {
        quarantine(run);
    } else if (!mustWait) {
        place(run);
    } else {
        const auto timer = std::make_shared<boost::asio::steady_timer>(m_context, suspectCheckInterval);
        timer->async_wait([this, run, timer](boost::system::error_code) {
            querySuspectState(run);
        });
    }
}

bool RunDispatcher::recordCrashes(const CallRun &run, const std::vector<std::string> &runners)
{
    const std::lock_guard lock(m_mutex);
    for (const std::string &runner : runners) {
        m_suspects.recordCrash({{runner, 0, 0}, {toCrashedRequest(run)}}, Clock::now());
    }
    return m_suspects.isQuarantined(run.digest);
}

void RunDispatcher::clearSuspect(const base::Digest &digest)
{
    for (const Candidate &runner : m_directory.all()) {
        wire::SuspectCheckT check;
        check.digest = digest.value();
        check.clear = true;
        wire::MessageUnion message;
        message.Set(std::move(check));
        runner.channel->sendRequest(std::move(message), [](const wire::ChannelReply &) {});
    }
}

void RunDispatcher::quarantine(const RunPtr &run)
{
    {
        const std::lock_guard lock(m_mutex);
        m_suspects.quarantine(toCrashedRequest(*run), Clock::now());
    }
    for (const Candidate &runner : m_directory.all()) {
        wire::QuarantineT quarantine;
        quarantine.digests.push_back(run->digest.value());
        wire::MessageUnion message;
        message.Set(std::move(quarantine));
        runner.channel->sendRequest(std::move(message), [](const wire::ChannelReply &) {});
    }
    finish(run, quarantineOutcome(*run));
}

core::Outcome RunDispatcher::quarantineOutcome(CallRun &run)
{
    const std::lock_guard lock(run.mutex);
    if (!run.mayHaveRun) {
        return core::NotRun{"this request, or one in the program's history, crashed two upstreams", std::nullopt};
    }
    if (run.call.request.idempotent) {
        return core::Failed{"this request crashed two upstreams and is not run again"};
    }
    return core::Unknown{"the upstream crashed while the call ran"};
}

bool RunDispatcher::consumeRetry()
{
    const std::lock_guard lock(m_mutex);
    return m_retries.tryConsume();
}

void RunDispatcher::finishWithoutRunner(const RunPtr &run)
{
    std::optional<base::Milliseconds> retryAfter;
    {
        const std::lock_guard lock(run->mutex);
        retryAfter = run->retryAfter;
    }
    finish(run,
           core::NotRun{"no runner serves \"" + run->call.request.target.value() + "\" now",
                        retryAfter.value_or(noRunnerRetryDelay)});
}

void RunDispatcher::finish(const RunPtr &run, core::Outcome outcome)
{
    {
        const std::scoped_lock lock(run->mutex, m_mutex);
        if (run->finished) {
            return;
        }
        run->finished = true;
        m_runs.erase({run->call.program, run->call.request.number});
        m_limits.recordCallEnded(run->source);
        const auto group = m_digestGroups.find(run->digest);
        if (--group->second.count == 0) {
            m_digestGroups.erase(group);
        }
        if (run->isOnTrial) {
            endTrial(*run, outcome);
        }
        if (run->mayHaveRun && std::holds_alternative<core::NotRun>(outcome)) {
            outcome = core::Unknown{"an earlier attempt may have run; " + core::historyText(outcome)};
        }
    }
    if (run->isOnTrial && hasCompleted(outcome)) {
        clearSuspect(run->digest);
    }
    run->observer.ended(outcome);
    resumeWaiting(run->digest);
}

void RunDispatcher::endTrial(const CallRun &run, const core::Outcome &outcome)
{
    m_suspects.endTrial(run.digest, hasCompleted(outcome));
}

void RunDispatcher::resumeWaiting(const base::Digest &digest)
{
    std::vector<RunPtr> resumed;
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_waitingForTrial.find(digest);
        if (found == m_waitingForTrial.end()) {
            return;
        }
        resumed = std::move(found->second);
        m_waitingForTrial.erase(found);
    }
    for (const RunPtr &run : resumed) {
        start(run);
    }
}

void RunDispatcher::scheduleTick()
{
    m_timer.expires_after(tickInterval);
    m_timer.async_wait([this](boost::system::error_code cancelled) {
        if (!cancelled) {
            tick();
            scheduleTick();
        }
    });
}

void RunDispatcher::tick()
{
    const SteadyTime now = Clock::now();
    std::vector<RunPtr> runs;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &[key, run] : m_runs) {
            runs.push_back(run);
        }
    }
    for (const RunPtr &run : runs) {
        checkProgress(run, now);
    }
    probeDraining(now);
}

void RunDispatcher::checkProgress(const RunPtr &run, SteadyTime now)
{
    AttemptPtr attempt;
    bool isPastTimeout = false;
    {
        const std::lock_guard lock(run->mutex);
        isPastTimeout = now - run->startedAt > m_settings.callTimeout;
        if (run->attempt == nullptr || run->finished || (!isPastTimeout && !isStalled(*run, now))) {
            return;
        }
        attempt = run->attempt;
    }
    if (!isPastTimeout) {
        const auto others = eligibleRunners(*run);
        const bool mayMove = std::any_of(others.begin(), others.end(), [](const Candidate &candidate) {
            return !candidate.view.avoided;
        });
        if (!mayMove || !consumeRetry()) {
            return;
        }
        m_directory.recordFailure(attempt->runner, now);
    }
    m_log.write(logging::events::callStalled,
                {{"program", run->call.program.value()},
                 {"call", run->call.request.number.value()},
                 {"runner", attempt->runner},
                 {"pastTimeLimit", isPastTimeout}});
    {
        const std::lock_guard lock(run->mutex);
        if (run->attempt != attempt || run->finished) {
            return;
        }
        // Further replies to the old attempt are ignored.
        run->attempt.reset();
        run->mayHaveRun = true;
    }
    attempt->channel->cancel(attempt->requestId);
    if (isPastTimeout) {
        finish(run,
               core::Unknown{"the call took longer than its limit of " + std::to_string(m_settings.callTimeout.count())
                             + " ms"});
    } else {
        place(run);
    }
}

bool RunDispatcher::isStalled(const CallRun &run, SteadyTime now) const
{
    if (!run.mayRetry() || run.isOnTrial) {
        return false;
    }
    const Attempt &attempt = *run.attempt;
    const bool started = attempt.firstChunkAt.has_value();
    const base::Milliseconds expected = started ? base::Milliseconds(0) : attempt.expectedTimeToFirstToken;
    const auto timeout = m_settings.stallTimeout + stallTimeFactor * expected;
    return now - attempt.lastProgress > timeout
        && now - m_directory.lastProgress(attempt.runner) > m_settings.stallTimeout;
}

void RunDispatcher::probeDraining(SteadyTime now)
{
    for (const Candidate &runner : m_directory.draining(now)) {
        wire::MessageUnion message;
        message.Set(wire::ProbeT{});
        runner.channel->sendRequest(std::move(message),
                                    [this, name = runner.view.name](const wire::ChannelReply &reply) {
                                        if (const auto *frame = std::get_if<wire::FrameT>(&reply)) {
                                            if (const auto *load = frame->message.AsLoadReport()) {
                                                m_directory.recordLoadReport(name, *load);
                                            }
                                        } else {
                                            m_directory.recordFailure(name, Clock::now());
                                        }
                                    });
    }
}

}
