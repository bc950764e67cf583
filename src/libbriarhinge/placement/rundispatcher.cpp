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
constexpr std::size_t maxSuspects = 4096;
constexpr double retryBurst = 20;
constexpr base::Milliseconds retryWhenNoRunner{1000};
constexpr base::Milliseconds retryWhenLimited{250};
constexpr base::Milliseconds firstBackoff{20};
constexpr base::Milliseconds tickInterval{100};
/** Longest wait for what the runners know of a suspect. */
constexpr base::Milliseconds suspectCheckLimit{1000};
constexpr base::Milliseconds suspectCheckInterval{100};
constexpr std::size_t crashesUntilQuarantine = 2;
/** Longest wait for the loads that are asked for before a program is placed. */
constexpr base::Milliseconds probeLimit{20};
/** Expected times are rough: standing still begins at this many of them. */
constexpr int expectedTimesUntilStall = 4;

PlacementSubject subjectOf(const core::DispatchCall &call)
{
    const bool isModelCall = call.request.kind == core::CallKind::Model;
    return {call.program, isModelCall, base::Tokens(call.prompt.size() / bytesPerToken),
            isModelCall ? prefixChain(call.prompt) : PrefixChain{}};
}

/** The prompt counts, not the program: a crashing request may be sent again as another program. */
base::Digest digestOf(const core::DispatchCall &call)
{
    if (call.request.kind == core::CallKind::Tool) {
        return core::bodyDigest(call.request);
    }
    return promptDigest(call.request.target, call.prompt);
}

base::Milliseconds millisecondsBetween(SteadyTime from, SteadyTime to)
{
    return std::chrono::duration_cast<base::Milliseconds>(to - from);
}

bool hasCompleted(const core::Outcome &outcome)
{
    return std::holds_alternative<core::Completed>(outcome);
}

/** Loads that were asked for before a call is placed; the first of all answers and the time limit goes on. */
struct ProbeRound
{
    std::atomic<std::size_t> missing;
    std::atomic<bool> over{false};
};

/** What the runners know of a suspect, gathered before it is tried alone. */
struct SuspectRound
{
    std::mutex mutex;
    std::atomic<bool> over{false};
    std::size_t missing = 0;
    std::size_t crashes = 0;
    bool quarantined = false;
    bool present = false;
    /** The runner whose word decides who may try it: the first by name that answered. */
    std::string decider;
    std::string holder;

    void take(const std::string &runner, const wire::SuspectStateT *state)
    {
        if (state == nullptr) {
            return;
        }
        crashes += state->crashed ? 1 : 0;
        quarantined = quarantined || state->quarantined;
        present = present || state->present;
        if (decider.empty() || runner < decider) {
            decider = runner;
            holder = state->holder;
        }
    }
};

}

RunDispatcher::RunDispatcher(boost::asio::io_context &context, RunnerDirectory &directory, logging::EventLog &log,
                             ChosenPolicy policy, DispatchSettings settings)
    : m_context(context)
    , m_directory(directory)
    , m_log(log)
    , m_settings(std::move(settings))
    , m_placer(policy, m_settings.zone)
    , m_timer(context)
    , m_suspects(maxSuspects)
    , m_retries(m_settings.retryShare, retryBurst)
    , m_limits(m_settings.bounds)
{
    scheduleTick();
}

void RunDispatcher::dispatch(const core::DispatchCall &call, const service::DispatchObserver &observer)
{
    const CallSource source{call.account, core::rootOf(call.program), call.priority};
    const auto run = std::make_shared<CallRun>(call, observer, subjectOf(call), digestOf(call), source, Clock::now());
    std::optional<std::string> refusal;
    {
        const std::lock_guard lock(m_mutex);
        refusal = m_limits.admit(source);
        if (!refusal) {
            m_retries.callStarted();
            m_runs[{call.program, call.request.number}] = run;
            ++m_equals[run->digest].count;
        }
    }
    if (refusal) {
        m_log.write(logging::events::callLimited,
                    {{"program", call.program.value()}, {"call", call.request.number.value()}, {"reason", *refusal}});
        observer.ended(core::NotRun{*refusal, retryWhenLimited});
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
        verdict = m_suspects.extendsQuarantined(run->call.request.target, run->call.prompt)
            ? SuspectVerdict::Quarantined
            : m_suspects.judge(run->digest);
        run->isOnTrial = verdict == SuspectVerdict::RunAlone;
        if (verdict == SuspectVerdict::Wait) {
            m_waiting[run->digest].push_back(run);
        }
    }
    if (verdict == SuspectVerdict::Quarantined) {
        finish(run, quarantineOutcome(*run));
    } else if (verdict == SuspectVerdict::RunAlone) {
        checkFleet(run);
    } else if (verdict == SuspectVerdict::Clear) {
        place(run);
    }
}

void RunDispatcher::place(const RunPtr &run)
{
    const std::vector<Candidate> candidates = eligible(*run);
    const auto asked = m_placer.worthAsking(run->subject, candidates, m_settings.probes);
    if (asked.empty()) {
        placeNow(run);
    } else {
        askAndPlace(run, asked);
    }
}

void RunDispatcher::askAndPlace(const RunPtr &run, const std::vector<Candidate> &asked)
{
    auto round = std::make_shared<ProbeRound>();
    round->missing = asked.size();
    const auto goOn = [this, run, round] {
        if (!round->over.exchange(true)) {
            placeNow(run);
        }
    };
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context, probeLimit);
    timer->async_wait([goOn](boost::system::error_code cancelled) {
        if (!cancelled) {
            goOn();
        }
    });
    for (const Candidate &candidate : asked) {
        wire::MessageUnion message;
        wire::ProbeT probe;
        probe.program = run->call.program.value();
        message.Set(std::move(probe));
        candidate.channel->sendRequest(
            std::move(message),
            [this, name = candidate.view.name, round, goOn, timer](const wire::ChannelReply &reply) {
                if (const auto *frame = std::get_if<wire::FrameT>(&reply)) {
                    if (const auto *load = frame->message.AsLoadReport()) {
                        m_directory.loadReported(name, *load);
                    }
                } else {
                    m_directory.failed(name, Clock::now());
                }
                if (--round->missing == 0) {
                    boost::asio::post(m_context, [timer] {
                        timer->cancel();
                    });
                    goOn();
                }
            });
    }
}

void RunDispatcher::placeNow(const RunPtr &run)
{
    const std::vector<Candidate> candidates = eligible(*run);
    if (candidates.empty()) {
        noRunnerLeft(run);
        return;
    }
    const Placement placement = choose(*run, candidates);
    if (isOverloaded(*run, placement)) {
        const std::string reason = "all runners of \"" + run->call.request.target.value() + "\" are busy";
        m_log.write(logging::events::callLimited,
                    {{"program", run->call.program.value()},
                     {"call", run->call.request.number.value()},
                     {"reason", reason},
                     {"expectedWaitMs", placement.expectedWait.count()}});
        finish(run, core::NotRun{reason, placement.expectedWait});
        return;
    }
    send(run, placement);
}

bool RunDispatcher::isOverloaded(const CallRun &run, const Placement &placement)
{
    // A program that has begun holds cache and its caller's time; a new one has cost nothing yet.
    const bool isNew = placement.isFirst && run.call.request.number.value() == 1 && !core::parentOf(run.call.program);
    if (!isNew || placement.expectedWait <= m_settings.newProgramWait) {
        return false;
    }
    const std::lock_guard lock(m_mutex);
    return !m_limits.outranksAny(run.call.priority);
}

Placement RunDispatcher::choose(const CallRun &run, const std::vector<Candidate> &candidates)
{
    const std::lock_guard lock(m_mutex);
    const auto equals = m_equals.find(run.digest);
    if (equals == m_equals.end()) {
        return m_placer.place(run.subject, candidates);
    }
    for (const Candidate &candidate : candidates) {
        if (candidate.view.name == equals->second.runner) {
            return m_placer.place(run.subject, {candidate});
        }
    }
    Placement placement = m_placer.place(run.subject, candidates);
    equals->second.runner = placement.runner.view.name;
    return placement;
}

void RunDispatcher::placeLater(const RunPtr &run, base::Milliseconds delay)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context, delay);
    timer->async_wait([this, run, timer](boost::system::error_code) {
        place(run);
    });
}

std::vector<Candidate> RunDispatcher::eligible(CallRun &run) const
{
    std::vector<Candidate> candidates = m_directory.candidates(run.call.request.target, Clock::now());
    {
        const std::lock_guard lock(run.mutex);
        if (run.tried.size() >= maxAttempts) {
            return {};
        }
        std::erase_if(candidates, [&](const Candidate &candidate) {
            return run.tried.contains(candidate.view.name);
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
            attempt->channel = placement.runner.channel;
            attempt->sentAt = Clock::now();
            attempt->lastProgress = attempt->sentAt;
            attempt->expectedCached = placement.expectedCached;
            attempt->expectedTime = placement.expectedTime;
            run->attempt = attempt;
            run->tried.insert(attempt->runner);
            m_directory.callSent(attempt->runner);
            m_placer.sent(run->subject, attempt->runner);
            wire::MessageUnion message;
            message.Set(frameOf(*run));
            attempt->requestId = attempt->channel->sendRequest(std::move(message),
                                                               [this, run, attempt](const wire::ChannelReply &reply) {
                                                                   replied(run, attempt, reply);
                                                               });
        }
    }
    if (wasCancelled) {
        finish(run, core::NotRun{"the call was cancelled", std::nullopt});
    }
}

wire::ExecuteCallT RunDispatcher::frameOf(const CallRun &run) const
{
    wire::ExecuteCallT execute = wire::toWire(run.call);
    execute.body_digest = run.digest.value();
    execute.partial = run.answerSoFar;
    execute.suspect = run.isOnTrial;
    if (!m_settings.ordersByService) {
        execute.priority = 0;
        execute.attained_tokens = 0;
    }
    return execute;
}

void RunDispatcher::replied(const RunPtr &run, const AttemptPtr &attempt, const wire::ChannelReply &reply)
{
    if (const auto *error = std::get_if<wire::ChannelError>(&reply)) {
        m_directory.callEnded(attempt->runner, base::Milliseconds(0));
        m_directory.failed(attempt->runner, Clock::now());
        lost(run, attempt, *error);
        return;
    }
    const wire::MessageUnion &message = std::get<wire::FrameT>(reply).message;
    if (const auto *chunk = message.AsCallChunk()) {
        chunkArrived(run, attempt, *chunk);
    } else if (const auto *result = message.AsCallResult()) {
        countResult(*attempt, *result);
        resultArrived(run, attempt, *result);
    }
}

void RunDispatcher::chunkArrived(const RunPtr &run, const AttemptPtr &attempt, const wire::CallChunkT &chunk)
{
    const SteadyTime now = Clock::now();
    m_directory.progressed(attempt->runner, now);
    {
        const std::lock_guard lock(run->mutex);
        if (run->attempt != attempt || run->finished) {
            return;
        }
        attempt->lastProgress = now;
        if (!attempt->firstPiece) {
            attempt->firstPiece = now;
        }
        if (chunk.offset == run->answerSoFar.size()) {
            run->answerSoFar += chunk.text;
        }
    }
    run->observer.chunk(chunk.offset, chunk.text);
}

void RunDispatcher::countResult(const Attempt &attempt, const wire::CallResultT &result)
{
    const SteadyTime now = Clock::now();
    // The wait before the first piece belongs to the queue, not to the call.
    const SteadyTime from = attempt.firstPiece.value_or(attempt.sentAt);
    const bool completed = result.outcome == wire::OutcomeKind::Completed;
    m_directory.callEnded(attempt.runner, completed ? millisecondsBetween(from, now) : base::Milliseconds(0));
    if (result.load) {
        m_directory.loadReported(attempt.runner, *result.load);
    }
    if (completed) {
        m_directory.progressed(attempt.runner, now);
        m_placer.observed(attempt.runner, attempt.expectedCached, base::Tokens(result.cached_tokens));
    }
}

void RunDispatcher::resultArrived(const RunPtr &run, const AttemptPtr &attempt, const wire::CallResultT &result)
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
        quarantined(run);
    } else if (result.suspect) {
        upstreamCrashed(run, attempt, outcome);
    } else {
        tryElsewhere(run, attempt, outcome);
    }
}

void RunDispatcher::tryElsewhere(const RunPtr &run, const AttemptPtr &attempt, const core::Outcome &outcome)
{
    const auto *refusal = std::get_if<core::NotRun>(&outcome);
    const bool isUnknown = std::holds_alternative<core::Unknown>(outcome);
    if (refusal != nullptr && refusal->retryAfter) {
        m_directory.refused(attempt->runner, *refusal->retryAfter, Clock::now());
        const std::lock_guard lock(run->mutex);
        run->retryAfter = std::min(run->retryAfter.value_or(*refusal->retryAfter), *refusal->retryAfter);
    }
    const bool mayGoElsewhere = (refusal != nullptr && refusal->retryAfter)
        || (isUnknown && run->mayRunAgain() && !eligible(*run).empty() && takeRetry());
    if (!mayGoElsewhere) {
        finish(run, outcome);
        return;
    }
    if (refusal != nullptr && eligible(*run).empty()) {
        finish(run, core::NotRun{refusal->reason, run->retryAfter});
        return;
    }
    m_log.write(logging::events::callRetried,
                {{"program", run->call.program.value()},
                 {"call", run->call.request.number.value()},
                 {"runner", attempt->runner},
                 {"reason", core::historyText(outcome)}});
    if (isUnknown) {
        placeLater(run, firstBackoff * (1U << run->tried.size()));
    } else {
        place(run);
    }
}

void RunDispatcher::lost(const RunPtr &run, const AttemptPtr &attempt, const wire::ChannelError &error)
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
        tryElsewhere(run, attempt, core::NotRun{error.reason, retryWhenNoRunner});
        return;
    }
    tryElsewhere(run, attempt,
                 core::Unknown{"the connection to runner \"" + attempt->runner + "\" was lost: " + error.reason});
}

void RunDispatcher::upstreamCrashed(const RunPtr &run, const AttemptPtr &attempt, const core::Outcome &outcome)
{
    m_placer.cacheLost(attempt->runner);
    m_directory.failed(attempt->runner, Clock::now());
    bool isQuarantined = false;
    {
        const std::scoped_lock lock(run->mutex, m_mutex);
        isQuarantined = m_suspects.crashed(run->digest, attempt->runner, run->isOnTrial);
    }
    m_log.write(logging::events::callSuspected,
                {{"program", run->call.program.value()},
                 {"call", run->call.request.number.value()},
                 {"runner", attempt->runner},
                 {"digest", run->digest.value()},
                 {"quarantined", isQuarantined}});
    if (isQuarantined) {
        quarantined(run);
    } else if (run->mayRunAgain()) {
        start(run);
    } else {
        finish(run, outcome);
    }
}

void RunDispatcher::checkFleet(const RunPtr &run)
{
    const auto round = std::make_shared<SuspectRound>();
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_context, suspectCheckLimit);
    const auto over = [this, run, round, timer] {
        if (!round->over.exchange(true)) {
            const std::lock_guard lock(round->mutex);
            const bool isQuarantined = round->quarantined || round->crashes >= crashesUntilQuarantine;
            fleetChecked(run, isQuarantined, round->present || round->holder != m_settings.name);
        }
    };
    const std::vector<Candidate> runners = m_directory.candidates(run->call.request.target, Clock::now());
    round->missing = runners.size();
    round->holder = m_settings.name;
    timer->async_wait([over](boost::system::error_code) {
        over();
    });
    for (const Candidate &runner : runners) {
        wire::SuspectCheckT check;
        check.digest = run->digest.value();
        check.holder = m_settings.name;
        wire::MessageUnion message;
        message.Set(std::move(check));
        runner.channel->sendRequest(std::move(message),
                                    [round, timer, name = runner.view.name](const wire::ChannelReply &reply) {
                                        const std::lock_guard lock(round->mutex);
                                        if (const auto *frame = std::get_if<wire::FrameT>(&reply)) {
                                            round->take(name, frame->message.AsSuspectState());
                                        }
                                        if (--round->missing == 0) {
                                            timer->cancel();
                                        }
                                    });
    }
}

void RunDispatcher::fleetChecked(const RunPtr &run, bool isQuarantined, bool mustWait)
{
    if (isQuarantined) {
        quarantined(run);
    } else if (!mustWait) {
        place(run);
    } else {
        const auto timer = std::make_shared<boost::asio::steady_timer>(m_context, suspectCheckInterval);
        timer->async_wait([this, run, timer](boost::system::error_code) {
            checkFleet(run);
        });
    }
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

void RunDispatcher::quarantined(const RunPtr &run)
{
    {
        const std::lock_guard lock(m_mutex);
        m_suspects.quarantine(run->digest, run->call.request.target, run->call.prompt);
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

bool RunDispatcher::takeRetry()
{
    const std::lock_guard lock(m_mutex);
    return m_retries.take();
}

void RunDispatcher::noRunnerLeft(const RunPtr &run)
{
    std::optional<base::Milliseconds> retryAfter;
    {
        const std::lock_guard lock(run->mutex);
        retryAfter = run->retryAfter;
    }
    finish(run,
           core::NotRun{"no runner serves \"" + run->call.request.target.value() + "\" now",
                        retryAfter.value_or(retryWhenNoRunner)});
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
        m_limits.ended(run->source);
        const auto equals = m_equals.find(run->digest);
        if (--equals->second.count == 0) {
            m_equals.erase(equals);
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
    wake(run->digest);
}

void RunDispatcher::endTrial(const CallRun &run, const core::Outcome &outcome)
{
    m_suspects.trialEnded(run.digest, hasCompleted(outcome));
}

void RunDispatcher::wake(const base::Digest &digest)
{
    std::vector<RunPtr> woken;
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_waiting.find(digest);
        if (found == m_waiting.end()) {
            return;
        }
        woken = std::move(found->second);
        m_waiting.erase(found);
    }
    for (const RunPtr &run : woken) {
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
    askDraining(now);
}

void RunDispatcher::checkProgress(const RunPtr &run, SteadyTime now)
{
    AttemptPtr attempt;
    bool isPastLimit = false;
    {
        const std::lock_guard lock(run->mutex);
        isPastLimit = now - run->startedAt > m_settings.callTimeLimit;
        if (run->attempt == nullptr || run->finished || (!isPastLimit && !standsStill(*run, now))) {
            return;
        }
        attempt = run->attempt;
    }
    if (!isPastLimit) {
        const auto others = eligible(*run);
        const bool mayMove = std::any_of(others.begin(), others.end(), [](const Candidate &candidate) {
            return !candidate.view.avoided;
        });
        if (!mayMove || !takeRetry()) {
            return;
        }
        m_directory.failed(attempt->runner, now);
    }
    m_log.write(logging::events::callStalled,
                {{"program", run->call.program.value()},
                 {"call", run->call.request.number.value()},
                 {"runner", attempt->runner},
                 {"pastTimeLimit", isPastLimit}});
    {
        const std::lock_guard lock(run->mutex);
        if (run->attempt != attempt || run->finished) {
            return;
        }
        // What the old attempt still sends is not looked at any more.
        run->attempt.reset();
        run->mayHaveRun = true;
    }
    attempt->channel->cancel(attempt->requestId);
    if (isPastLimit) {
        finish(run,
               core::Unknown{"the call took longer than its limit of "
                             + std::to_string(m_settings.callTimeLimit.count()) + " ms"});
    } else {
        place(run);
    }
}

bool RunDispatcher::standsStill(const CallRun &run, SteadyTime now) const
{
    if (!run.mayRunAgain() || run.isOnTrial) {
        return false;
    }
    const Attempt &attempt = *run.attempt;
    const bool started = attempt.firstPiece.has_value();
    const base::Milliseconds expected = started ? base::Milliseconds(0) : attempt.expectedTime;
    const auto limit = m_settings.stallLimit + expectedTimesUntilStall * expected;
    return now - attempt.lastProgress > limit && now - m_directory.lastProgress(attempt.runner) > m_settings.stallLimit;
}

void RunDispatcher::askDraining(SteadyTime now)
{
    for (const Candidate &runner : m_directory.draining(now)) {
        wire::MessageUnion message;
        message.Set(wire::ProbeT{});
        runner.channel->sendRequest(std::move(message),
                                    [this, name = runner.view.name](const wire::ChannelReply &reply) {
                                        if (const auto *frame = std::get_if<wire::FrameT>(&reply)) {
                                            if (const auto *load = frame->message.AsLoadReport()) {
                                                m_directory.loadReported(name, *load);
                                            }
                                        } else {
                                            m_directory.failed(name, Clock::now());
                                        }
                                    });
    }
}

}
