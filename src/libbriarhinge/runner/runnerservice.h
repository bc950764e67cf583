#pragma once

#include "base/clock.h"
#include "logging/eventlog.h"
#include "runner/callqueue.h"
#include "runner/callregister.h"
#include "runner/concurrencylimit.h"
#include "runner/crashregister.h"
#include "runner/drainrate.h"
#include "runner/enginepace.h"
#include "runner/holdtable.h"
#include "runner/job.h"
#include "runner/prefixindex.h"
#include "runner/runnerpolicy.h"
#include "runner/startrate.h"
#include "runner/upstream.h"
#include "wire/convert.h"
#include "wire/framesession.h"

#include <algorithm>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace briarhinge::runner
{

/**
 * Accepts calls from entries, queues them, and runs them on one upstream with limited concurrency.
 *
 * All calls to the upstream pass through this service, so it is the authority on draining and on calls that may run
 * only once. Decisions are delegated to its member classes; the service adds locking, frames and the upstream.
 * Operations on the upstream are collected under the lock and performed after it is released.
 */
template <Upstream UpstreamT, base::Clock ClockT = base::MonotonicClock, class SessionT = wire::FrameSession>
class RunnerService
{
public:
    using SessionPointer = std::shared_ptr<SessionT>;

    /**
     * @param upstream upstream that runs the calls
     * @param clock source of the current time
     * @param log receives the events
     * @param policy limits and timeouts
     */
    RunnerService(UpstreamT &upstream, const ClockT &clock, logging::EventLog &log, const RunnerPolicy &policy)
        : m_upstream(upstream)
        , m_clock(clock)
        , m_log(log)
        , m_policy(policy)
        , m_queue(policy.queue)
        , m_register(policy.retention)
        , m_crashes(policy.retention)
        , m_limit(policy.concurrency)
        , m_startRate(clock.now())
        , m_holds(policy.holds)
        , m_prefixes(policy.engineCacheTokens)
    {
    }

    /**
     * Handles a frame from an entry.
     *
     * @param session connection that the frame arrived on
     * @param frame the frame
     */
    void handleFrame(const SessionPointer &session, const wire::FrameT &frame)
    {
        const wire::MessageUnion &message = frame.message;
        const ListenerT listener{session, frame.request_id};
        if (const auto *execute = message.AsExecuteCall()) {
            accept(listener, *execute);
        } else if (const auto *probe = message.AsProbe()) {
            reply(listener, loadReport(base::ProgramId(probe->program)));
        } else if (message.AsCancelCall() != nullptr) {
            cancelCall(listener);
        } else if (const auto *release = message.AsReleaseProgram()) {
            releaseProgram(base::ProgramId(release->program));
            reply(listener, wire::DoneT{});
        } else if (const auto *quarantine = message.AsQuarantine()) {
            applyQuarantine(*quarantine);
            reply(listener, wire::DoneT{});
        } else if (const auto *check = message.AsSuspectCheck()) {
            reply(listener, checkSuspect(*check));
        } else if (message.AsHello() == nullptr) {
            session->close("bad frame: unexpected message for a runner");
        }
    }

    /**
     * Handles the loss of an entry's connection. Queued calls that only this entry waits for are dropped.
     *
     * Running calls continue: a non-idempotent call to its end, an idempotent one for a grace period.
     *
     * @param session the connection
     */
    void handleSessionClosed(const SessionPointer &session)
    {
        const auto isOfSession = [&](const ListenerT &listener) {
            return listener.session == session;
        };
        UpstreamActions actions;
        {
            const std::lock_guard lock(m_mutex);
            m_holds.removeOwner(session.get());
            for (const JobPointer &job : m_running) {
                if (std::erase_if(job->listeners, isOfSession) > 0) {
                    job->orphanedAt = m_clock.now();
                }
            }
            const std::vector<JobPointer> dropped = m_queue.remove([&](const JobPointer &job) {
                return std::erase_if(job->listeners, isOfSession) > 0 && job->listeners.empty();
            });
            for (const JobPointer &job : dropped) {
                end(job, core::NotRun{"the entry that asked is gone", std::nullopt}, actions);
            }
        }
        performActions(actions);
    }

    /** Processes timeouts, renewals and the queue. Must be called every few tens of milliseconds. */
    void tick()
    {
        UpstreamActions actions;
        {
            const std::lock_guard lock(m_mutex);
            const base::Timestamp now = m_clock.now();
            m_register.expire(now);
            m_crashes.expire(now);
            stopOrphanedAndStalled(now, actions);
            if (m_isDraining && m_drainingStartedAt + drainStartPeriod < now) {
                rejectQueued(actions);
            }
            const DueHolds due = m_holds.takeDue(now);
            actions.renew = due.renew;
            actions.release.insert(actions.release.end(), due.release.begin(), due.release.end());
            startQueued(actions);
            actions.requestEvents = !m_isEventsRequestPending && m_nextEventsRequestAt <= now;
            m_isEventsRequestPending = m_isEventsRequestPending || actions.requestEvents;
            actions.eventsAfter = m_lastEvent;
        }
        performActions(actions);
    }

    /** Rejects new calls from now on. Queued calls are still started for a few seconds, then rejected as well. */
    void drain()
    {
        m_log.write(logging::events::upstreamDraining, {});
        const std::lock_guard lock(m_mutex);
        m_isDraining = true;
        m_drainingStartedAt = m_clock.now();
        m_lastRejectionAt = m_drainingStartedAt;
    }

    /**
     * A runner that exits while a call is in transit to it would turn a rejection into an Unknown outcome.
     *
     * @return whether entries have stopped sending calls to the draining runner, or had enough time to do so
     */
    bool isQuiescent() const
    {
        const std::lock_guard lock(m_mutex);
        const base::Timestamp now = m_clock.now();
        return m_isDraining
            && (m_lastRejectionAt + quiescencePeriod < now || m_drainingStartedAt + maxRejectionPeriod < now);
    }

    /** Logs all queued and running calls. Used when the process stops before they end. */
    void logUnfinishedCalls() const
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &[key, job] : m_jobs) {
            m_log.write(logging::events::callCutOff,
                        {{"program", key.first.value()},
                         {"call", key.second.value()},
                         {"running", job->state == JobState::Running}});
        }
    }

    /** @return number of queued and running calls */
    std::size_t inProgress() const
    {
        const std::lock_guard lock(m_mutex);
        return m_queue.size() + m_running.size();
    }

private:
    static constexpr base::Milliseconds drainingRetryDelay{200};
    static constexpr base::Milliseconds trialRetryDelay{500};
    /** How long a draining runner still starts the calls that it had accepted; then it rejects those still queued. */
    static constexpr base::Milliseconds drainStartPeriod{3000};
    static constexpr base::Milliseconds eventInterval{500};
    /** If no call was rejected for this long, all entries know that the runner is draining. */
    static constexpr base::Milliseconds quiescencePeriod{500};
    /** A runner that has been draining for this long is quiescent even if calls still arrive. */
    static constexpr base::Milliseconds maxRejectionPeriod{3000};

    using JobT = Job<SessionT>;
    using JobPointer = std::shared_ptr<JobT>;
    using ListenerT = Listener<SessionT>;

    struct PendingHold
    {
        base::ProgramId program;
        std::string prefix;
        base::Milliseconds lease;
    };

    /** Operations on the upstream to perform after the lock is released. */
    struct UpstreamActions
    {
        std::vector<JobPointer> start;
        std::vector<std::shared_ptr<Cancellation>> cancel;
        std::vector<PendingHold> hold;
        std::vector<base::ProgramId> renew;
        std::vector<base::ProgramId> release;
        bool requestEvents = false;
        std::uint64_t eventsAfter = 0;
    };

    JobPointer makeJob(const ListenerT &listener, const wire::ExecuteCallT &execute) const
    {
        auto job = std::make_shared<JobT>();
        job->call = {wire::fromWire(execute), execute.partial};
        job->digest = execute.body_digest;
        job->suspect = execute.suspect;
        job->answer = execute.partial;
        job->timeout = selectTimeout(execute);
        if (execute.kind == wire::CallKind::Model) {
            job->blocks = promptBlocks(execute.prompt);
        }
        job->listeners.push_back(listener);
        return job;
    }

    base::Milliseconds selectTimeout(const wire::ExecuteCallT &execute) const
    {
        if (execute.timeout_ms > 0) {
            return base::Milliseconds(execute.timeout_ms);
        }
        const auto tool = m_policy.toolTimeouts.find(base::TargetName(execute.target));
        return tool == m_policy.toolTimeouts.end() ? m_policy.callTimeout : tool->second;
    }

    void accept(const ListenerT &listener, const wire::ExecuteCallT &execute)
    {
        UpstreamActions actions;
        const JobPointer job = makeJob(listener, execute);
        {
            const std::lock_guard lock(m_mutex);
            const IncomingCall arrival{job->key(), job->digest, base::Term(execute.term), execute.idempotent};
            const ArrivalDecision decision = m_register.handleArrival(arrival, m_clock.now());
            if (const auto *answered = std::get_if<ReturnOutcome>(&decision)) {
                m_log.write(logging::events::callRepeated, {{"program", execute.program}, {"call", execute.number}});
                answerStored(listener, *job, answered->outcome);
            } else if (std::holds_alternative<JoinExistingCall>(decision)) {
                join(listener, job);
            } else {
                admit(job, actions);
            }
            startQueued(actions);
        }
        performActions(actions);
    }

    /** Sends the outcome of an ended call, preceded by the part of the answer that the requester lacks. */
    void answerStored(const ListenerT &listener, const JobT &requested, const core::Outcome &outcome)
    {
        const std::string &known = requested.call.partial;
        const auto *completed = std::get_if<core::Completed>(&outcome);
        if (completed != nullptr && !completed->answer.starts_with(known)) {
            answer(requested, core::Unknown{"the call ran already, with another beginning of its answer"});
            return;
        }
        if (completed != nullptr && completed->answer.size() > known.size()) {
            sendChunk(listener, known.size(), completed->answer.substr(known.size()));
        }
        answer(requested, outcome);
    }

    /** Adds a listener to a queued or running call. */
    void join(const ListenerT &listener, const JobPointer &requested)
    {
        const auto found = m_jobs.find(requested->key());
        const JobPointer &job = found->second;
        const std::string &known = requested->call.partial;
        if (!job->answer.starts_with(known)) {
            answer(*requested, core::Unknown{"the call runs already, with another beginning of its answer"});
            return;
        }
        if (job->addListener(listener) && job->answer.size() > known.size()) {
            sendChunk(listener, known.size(), job->answer.substr(known.size()));
        }
    }

    /** Queues a new call or rejects it. */
    void admit(const JobPointer &job, UpstreamActions &actions)
    {
        m_jobs[job->key()] = job;
        const bool isOnTrialElsewhere = !job->suspect && m_crashes.isReserved(job->digest, m_clock.now());
        job->suspect = job->suspect || m_crashes.isSuspect(job->digest);
        if (m_isDraining) {
            m_lastRejectionAt = m_clock.now();
            end(job, core::NotRun{"the runner is draining", drainingRetryDelay}, actions);
            return;
        }
        if (m_crashes.isQuarantined(job->digest)) {
            end(job, core::NotRun{"the request is quarantined: it crashed its upstream twice", std::nullopt}, actions);
            return;
        }
        if (isOnTrialElsewhere) {
            end(job, core::NotRun{"the request crashed an upstream and is being tried alone", trialRetryDelay},
                actions);
            return;
        }
        enqueue(job, actions);
    }

    /** Queues a call. If the expected wait is too long, the queued call of lowest rank is rejected immediately. */
    void enqueue(const JobPointer &job, UpstreamActions &actions)
    {
        const base::Timestamp now = m_clock.now();
        const core::DispatchCall &call = job->call.call;
        const QueueRank rank{call.priority, core::parentProgramId(call.program).has_value(), call.attained,
                             m_prefixes.cachedTokens(job->blocks)};
        m_queue.push(rank, job, now);
        const base::Milliseconds drainWait = m_drainRate.expectedWait(m_queue.size(), m_limit.limit());
        const base::Milliseconds startWait = m_startRate.expectedWait(m_queue.size());
        const bool isOverloaded = drainWait > m_policy.maxQueueWait && m_running.size() >= m_limit.limit();
        if (!isOverloaded && startWait <= m_policy.maxQueueWait) {
            return;
        }
        const base::Milliseconds wait = std::max(isOverloaded ? drainWait : base::Milliseconds(0), startWait);
        const JobPointer refused = *m_queue.popLast();
        m_log.write(logging::events::callShed,
                    {{"program", refused->call.call.program.value()},
                     {"call", refused->call.call.request.number.value()},
                     {"priority", refused->call.call.priority},
                     {"expectedWaitMs", wait.count()}});
        end(refused, core::NotRun{"the upstream is overloaded", wait}, actions);
    }

    /** Dequeues the calls that may start now. Must be called under the lock. */
    void startQueued(UpstreamActions &actions)
    {
        const base::Timestamp now = m_clock.now();
        while (canStartNext(now) && m_startRate.takePermit(now)) {
            JobPointer job = *m_queue.pop(now);
            job->state = JobState::Running;
            job->startedAt = now;
            job->lastActivityAt = now;
            m_holds.turnStarted(job->call.call.program, now);
            m_running.insert(job);
            actions.start.push_back(std::move(job));
        }
    }

    bool canStartNext(base::Timestamp now) const
    {
        const JobPointer *next = m_queue.first(now);
        if (next == nullptr || m_running.size() >= m_limit.limit()) {
            return false;
        }
        const bool isSuspectRunning = !m_running.empty() && (*m_running.begin())->suspect;
        return m_running.empty() || (!isSuspectRunning && !(*next)->suspect);
    }

    /** Performs the operations that were collected under the lock. */
    void performActions(const UpstreamActions &actions)
    {
        for (const auto &cancellation : actions.cancel) {
            cancellation->cancel();
        }
        for (const PendingHold &hold : actions.hold) {
            m_upstream.hold(hold.program, hold.prefix, hold.lease);
        }
        if (!actions.renew.empty()) {
            m_upstream.renew(actions.renew, m_policy.holds.lease);
        }
        for (const base::ProgramId &program : actions.release) {
            m_upstream.release(program);
        }
        for (const JobPointer &job : actions.start) {
            start(job);
        }
        if (actions.requestEvents) {
            m_upstream.requestCacheEvents(actions.eventsAfter, [this](const std::optional<CacheEvents> &events) {
                handleCacheEvents(events);
            });
        }
    }

    void handleCacheEvents(const std::optional<CacheEvents> &events)
    {
        const std::lock_guard lock(m_mutex);
        m_isEventsRequestPending = false;
        m_nextEventsRequestAt = m_clock.now() + eventInterval;
        if (!events) {
            return;
        }
        m_lastEvent = events->last;
        for (const CacheEvent &event : events->events) {
            m_prefixes.apply(event);
        }
    }

    void handleStatedRate(const JobPointer &job, const requests::StatedRate &stated)
    {
        const std::lock_guard lock(m_mutex);
        if (m_startRate.record(stated, job->startedAt, m_clock.now())) {
            const auto limit = m_startRate.limit();
            m_log.write(logging::events::upstreamLimited,
                        {{"limit", limit ? std::to_string(limit->value()) : std::string("none")}});
        }
    }

    void start(const JobPointer &job)
    {
        UpstreamObserver observer;
        observer.chunk = [this, job](std::uint64_t offset, const std::string &text) {
            handleChunk(job, offset, text);
        };
        observer.rateStated = [this, job](const requests::StatedRate &stated) {
            handleStatedRate(job, stated);
        };
        observer.ended = [this, job](const core::Outcome &outcome) {
            handleUpstreamEnded(job, outcome);
        };
        const auto cancellation = m_upstream.execute(job->call, observer);
        bool cancelNow = false;
        {
            const std::lock_guard lock(m_mutex);
            job->cancellation = cancellation;
            cancelNow = job->cancelled;
        }
        if (cancelNow) {
            cancellation->cancel();
        }
    }

    void handleChunk(const JobPointer &job, std::uint64_t offset, const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        if (job->state == JobState::Ended) {
            return;
        }
        const base::Timestamp now = m_clock.now();
        const base::Milliseconds gap = now - job->lastActivityAt;
        if (job->hasFirstToken) {
            m_pace.recordTokenGap(gap);
            m_limit.recordTokenGap(gap, m_queue.size() > 0, now);
        } else {
            job->hasFirstToken = true;
            job->timeToFirstToken = gap;
        }
        m_hasCrashedSinceProgress = false;
        job->lastActivityAt = now;
        job->answer += text;
        for (const ListenerT &listener : job->listeners) {
            sendChunk(listener, offset, text);
        }
    }

    void handleUpstreamEnded(const JobPointer &job, const core::Outcome &outcome)
    {
        UpstreamActions actions;
        {
            const std::lock_guard lock(m_mutex);
            if (job->state == JobState::Ended) {
                recordLateOutcome(*job, outcome);
                return;
            }
            const bool crashed = std::holds_alternative<core::Unknown>(outcome);
            if (crashed) {
                handleUpstreamCrash(job, outcome, actions);
            } else {
                updateMeasurements(*job, outcome);
                // A call that did not reach the upstream, for example because it had just crashed, proves nothing.
                if (!std::holds_alternative<core::NotRun>(outcome)) {
                    m_hasCrashedSinceProgress = false;
                    m_crashes.recordSurvival(job->digest);
                }
                end(job, outcome, actions);
            }
            startQueued(actions);
        }
        performActions(actions);
    }

    /** Records the actual outcome of a call that was already answered, for repeats of a non-idempotent call. */
    void recordLateOutcome(const JobT &job, const core::Outcome &outcome)
    {
        if (!job.call.call.request.idempotent) {
            m_register.recordOutcome(job.key(), outcome, true, m_clock.now());
        }
    }

    void updateMeasurements(const JobT &job, const core::Outcome &outcome)
    {
        const auto *completed = std::get_if<core::Completed>(&outcome);
        if (completed == nullptr) {
            return;
        }
        m_drainRate.recordCallDuration(m_clock.now() - job.startedAt);
        const core::DispatchCall &call = job.call.call;
        if (call.request.kind == core::CallKind::Model) {
            m_prefixes.correct(job.blocks, completed->usage.cached);
            m_prefixes.storeTurn(call.program, promptBlocks(call.prompt + completed->answer));
        }
        if (job.hasFirstToken) {
            const std::uint64_t uncached = completed->usage.prompt.value() - completed->usage.cached.value();
            m_pace.recordPrefill(base::Tokens(uncached), job.timeToFirstToken);
        }
    }

    /** Handles a crash of the upstream: the running call becomes a suspect, or is quarantined if it ran alone. */
    void handleUpstreamCrash(const JobPointer &job, const core::Outcome &outcome, UpstreamActions &actions)
    {
        // A call that was started while the upstream was still ending was lost in the same crash.
        const bool isNewCrash = !std::exchange(m_hasCrashedSinceProgress, true);
        const bool quarantined = m_crashes.recordCrash(job->digest, job->suspect && isNewCrash, m_clock.now());
        m_log.write(quarantined ? logging::events::requestQuarantined : logging::events::requestSuspected,
                    {{"program", job->call.call.program.value()},
                     {"call", job->call.call.request.number.value()},
                     {"digest", job->digest}});
        const bool isFinal = quarantined && job->call.call.request.idempotent;
        end(job, isFinal ? core::Failed{"the request crashed its upstream twice and is quarantined"} : outcome, actions,
            true);
    }

    /** Ends a call and sends its outcome to all listeners. Must be called under the lock. */
    void end(const JobPointer &job, const core::Outcome &outcome, UpstreamActions &actions, bool crashed = false)
    {
        const bool ran = job->state == JobState::Running;
        job->state = JobState::Ended;
        m_running.erase(job);
        m_jobs.erase(job->key());
        m_register.recordOutcome(job->key(), outcome, !job->listeners.empty(), m_clock.now());
        if (ran) {
            holdPrefix(*job, outcome, actions);
        }
        answer(*job, outcome, crashed);
        job->listeners.clear();
    }

    void answer(const JobT &job, const core::Outcome &outcome, bool crashed = false)
    {
        for (const ListenerT &listener : job.listeners) {
            answer(listener, job, outcome, crashed);
        }
    }

    void answer(const ListenerT &listener, const JobT &job, const core::Outcome &outcome, bool crashed)
    {
        wire::CallResultT result = wire::toWire(outcome);
        result.load = std::make_unique<wire::LoadReportT>(loadReportLocked());
        result.suspect = crashed;
        result.quarantined = m_crashes.isQuarantined(job.digest);
        reply(listener, std::move(result));
    }

    void holdPrefix(const JobT &job, const core::Outcome &outcome, UpstreamActions &actions)
    {
        const core::DispatchCall &call = job.call.call;
        const auto *completed = std::get_if<core::Completed>(&outcome);
        if (completed == nullptr || job.listeners.empty() || call.request.kind != core::CallKind::Model) {
            return;
        }
        // The break-even time of a hold is the time in which the engine would prefill its whole cache.
        const double refillMs = m_pace.prefillMsPerToken() * static_cast<double>(m_policy.engineCacheTokens.value());
        const auto lease = m_holds.turnEnded(call.program, job.listeners.front().session.get(),
                                             base::Milliseconds(static_cast<std::int64_t>(refillMs)), m_clock.now());
        if (lease) {
            actions.hold.push_back({call.program, call.prompt + completed->answer, *lease});
        }
    }

    /** Answers an entry that cancels a call immediately, and stops the call unless others wait for it. */
    void cancelCall(const ListenerT &listener)
    {
        UpstreamActions actions;
        {
            const std::lock_guard lock(m_mutex);
            const JobPointer job = findJob(listener);
            if (job && job->state == JobState::Queued && job->listeners.size() == 1) {
                m_queue.remove([&](const JobPointer &queued) {
                    return queued == job;
                });
                end(job, core::NotRun{"given up while it waited", std::nullopt}, actions);
            } else if (job) {
                cancelSharedCall(listener, job, actions);
            }
            startQueued(actions);
        }
        performActions(actions);
    }

    /** Cancels a call that is running or has other listeners; it stops only if it is idempotent and has no others. */
    void cancelSharedCall(const ListenerT &listener, const JobPointer &job, UpstreamActions &actions)
    {
        const core::Unknown outcome{"given up"};
        answer(listener, *job, outcome, false);
        std::erase(job->listeners, listener);
        if (job->listeners.empty() && job->call.call.request.idempotent) {
            stop(job, outcome, actions);
        }
    }

    /** @return the call that the listener waits for, or null */
    JobPointer findJob(const ListenerT &listener) const
    {
        for (const auto &[key, job] : m_jobs) {
            if (std::find(job->listeners.begin(), job->listeners.end(), listener) != job->listeners.end()) {
                return job;
            }
        }
        return nullptr;
    }

    /** Ends a running call before its upstream does, and cancels it at the upstream. */
    void stop(const JobPointer &job, const core::Outcome &outcome, UpstreamActions &actions)
    {
        job->cancelled = true;
        if (job->cancellation) {
            actions.cancel.push_back(job->cancellation);
        }
        end(job, outcome, actions);
    }

    void stopOrphanedAndStalled(base::Timestamp now, UpstreamActions &actions)
    {
        const std::vector<JobPointer> running(m_running.begin(), m_running.end());
        for (const JobPointer &job : running) {
            const bool orphaned = job->listeners.empty() && job->call.call.request.idempotent
                && job->orphanedAt + m_policy.orphanGracePeriod < now;
            if (orphaned) {
                stop(job, core::Unknown{"the entry that asked is gone"}, actions);
            } else if (job->lastActivityAt + job->timeout < now) {
                m_log.write(logging::events::upstreamSilent,
                            {{"program", job->call.call.program.value()},
                             {"call", job->call.call.request.number.value()},
                             {"limitMs", job->timeout.count()}});
                stop(job, core::Unknown{"the upstream was silent for " + std::to_string(job->timeout.count()) + " ms"},
                     actions);
            }
        }
    }

    /** Rejects all queued calls, so that the entries place them on other runners. */
    void rejectQueued(UpstreamActions &actions)
    {
        const std::vector<JobPointer> queued = m_queue.remove([](const JobPointer &) {
            return true;
        });
        for (const JobPointer &job : queued) {
            end(job, core::NotRun{"the runner is draining", drainingRetryDelay}, actions);
        }
    }

    void releaseProgram(const base::ProgramId &program)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_holds.programEnded(program, m_clock.now());
            m_prefixes.forget(program);
        }
        m_upstream.release(program);
    }

    wire::SuspectStateT checkSuspect(const wire::SuspectCheckT &check)
    {
        const std::lock_guard lock(m_mutex);
        wire::SuspectStateT state;
        if (check.clear) {
            m_crashes.recordSurvival(check.digest);
            return state;
        }
        state.holder = m_crashes.reserve(check.digest, check.holder, m_clock.now());
        state.crashed = m_crashes.hasCrashedUpstream(check.digest);
        state.quarantined = m_crashes.isQuarantined(check.digest);
        state.present = std::any_of(m_jobs.begin(), m_jobs.end(), [&](const auto &item) {
            return item.second->digest == check.digest;
        });
        return state;
    }

    void applyQuarantine(const wire::QuarantineT &quarantine)
    {
        const std::lock_guard lock(m_mutex);
        for (const std::string &digest : quarantine.digests) {
            m_crashes.quarantine(digest, m_clock.now());
        }
    }

    wire::LoadReportT loadReport(const base::ProgramId &program) const
    {
        const std::lock_guard lock(m_mutex);
        wire::LoadReportT report = loadReportLocked();
        report.cached_tokens = m_prefixes.cachedTokens(program).value();
        return report;
    }

    wire::LoadReportT loadReportLocked() const
    {
        wire::LoadReportT report;
        report.running = static_cast<std::uint32_t>(m_running.size());
        report.queued = static_cast<std::uint32_t>(m_queue.size());
        report.queued_tokens = queuedTokens();
        report.limit = static_cast<std::uint32_t>(m_limit.limit());
        report.draining = m_isDraining;
        report.decode_ms_per_token = m_pace.decodeMsPerToken();
        report.prefill_ms_per_token = m_pace.prefillMsPerToken();
        return report;
    }

    /** @return number of prompt tokens of the queued calls */
    std::uint64_t queuedTokens() const
    {
        std::uint64_t tokens = 0;
        for (const auto &[key, job] : m_jobs) {
            tokens += job->state == JobState::Queued ? estimateTokens(job->call.call.prompt.size()) : 0;
        }
        return tokens;
    }

    void sendChunk(const ListenerT &listener, std::uint64_t offset, const std::string &text)
    {
        wire::CallChunkT chunk;
        chunk.offset = offset;
        chunk.text = text;
        reply(listener, std::move(chunk), false);
    }

    template <class MessageT>
    void reply(const ListenerT &listener, MessageT message, bool last = true)
    {
        wire::FrameT frame;
        frame.request_id = listener.requestId;
        frame.last = last;
        frame.message.Set(std::move(message));
        listener.session->send(frame);
    }

    UpstreamT &m_upstream;
    const ClockT &m_clock;
    logging::EventLog &m_log;
    const RunnerPolicy m_policy;
    mutable std::mutex m_mutex;
    CallQueue<JobPointer> m_queue;
    std::set<JobPointer> m_running;
    /** Queued and running calls. */
    std::map<CallKey, JobPointer> m_jobs;
    CallRegister m_register;
    CrashRegister m_crashes;
    /** Whether the upstream has crashed and answered nothing since. */
    bool m_hasCrashedSinceProgress = false;
    ConcurrencyLimit m_limit;
    StartRate m_startRate;
    DrainRate m_drainRate;
    EnginePace m_pace;
    HoldTable m_holds;
    PrefixIndex m_prefixes;
    /** Time of the next request for cache events; ignored while a request is pending. */
    base::Timestamp m_nextEventsRequestAt;
    bool m_isEventsRequestPending = false;
    std::uint64_t m_lastEvent = 0;
    bool m_isDraining = false;
    base::Timestamp m_drainingStartedAt;
    base::Timestamp m_lastRejectionAt;
};

}
