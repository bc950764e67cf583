#include "runner/runnerservice.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace briarhinge;
using namespace briarhinge::runner;

namespace
{

class ManualClock
{
public:
    base::Timestamp now() const
    {
        return m_now;
    }

    void pass(base::Milliseconds time)
    {
        m_now += time;
    }

private:
    base::Timestamp m_now{base::Milliseconds(1'000'000)};
};

class FakeSession
{
public:
    void send(const wire::FrameT &frame)
    {
        if (const auto *result = frame.message.AsCallResult()) {
            results[frame.request_id].push_back(result->outcome);
            retryAfter[frame.request_id] = result->retry_after_ms;
            texts[frame.request_id] = result->text;
        } else if (const auto *chunk = frame.message.AsCallChunk()) {
            chunks[frame.request_id].push_back({chunk->offset, chunk->text});
        } else if (const auto *report = frame.message.AsLoadReport()) {
            load = *report;
        } else if (const auto *state = frame.message.AsSuspectState()) {
            suspect = *state;
        }
    }

    void close(const std::string &)
    {
    }

    std::map<std::uint64_t, std::vector<wire::OutcomeKind>> results;
    wire::LoadReportT load;
    wire::SuspectStateT suspect;
    std::map<std::uint64_t, std::uint64_t> retryAfter;
    std::map<std::uint64_t, std::string> texts;
    std::map<std::uint64_t, std::vector<std::pair<std::uint64_t, std::string>>> chunks;
};

class FakeCancellation : public Cancellation
{
public:
    explicit FakeCancellation(int &count)
        : m_count(count)
    {
    }

    void cancel() override
    {
        ++m_count;
    }

private:
    int &m_count;
};

class FakeUpstream
{
public:
    struct Running
    {
        UpstreamCall call;
        UpstreamObserver observer;
    };

    std::shared_ptr<Cancellation> execute(const UpstreamCall &call, const UpstreamObserver &observer)
    {
        running.push_back({call, observer});
        return std::make_shared<FakeCancellation>(cancelled);
    }

    void release(const base::ProgramId &)
    {
        ++released;
    }

    void hold(const base::ProgramId &, const std::string &, base::Milliseconds)
    {
        ++held;
    }

    void renew(const std::vector<base::ProgramId> &, base::Milliseconds)
    {
    }

    void requestCacheEvents(std::uint64_t after, const CacheEventsHandler &handler)
    {
        handler(CacheEvents{events, after + events.size()});
        events.clear();
    }

    std::vector<Running> running;
    std::vector<CacheEvent> events;
    int cancelled = 0;
    int released = 0;
    int held = 0;
};

using Service = RunnerService<FakeUpstream, ManualClock, FakeSession>;

RunnerPolicy policy()
{
    RunnerPolicy limits;
    limits.concurrency.maxCalls = 1;
    limits.maxQueueWait = base::Milliseconds(1000);
    limits.callTimeout = base::Milliseconds(5000);
    limits.toolTimeouts[base::TargetName("charge")] = base::Milliseconds(300);
    limits.orphanGracePeriod = base::Milliseconds(500);
    return limits;
}

wire::ExecuteCallT model(const std::string &program)
{
    wire::ExecuteCallT call;
    call.program = program;
    call.number = 1;
    call.kind = wire::CallKind::Model;
    call.target = "small";
    call.idempotent = true;
    call.body_digest = "digest of " + program;
    return call;
}

wire::ExecuteCallT charge(const std::string &program)
{
    wire::ExecuteCallT call = model(program);
    call.kind = wire::CallKind::Tool;
    call.target = "charge";
    call.idempotent = false;
    return call;
}

}

TEST_GROUP(RunnerService)
{
    ManualClock clock;
    FakeUpstream upstream;
    logging::EventLog log{"runner-test"};
    Service service{upstream, clock, log, policy()};
    std::shared_ptr<FakeSession> session = std::make_shared<FakeSession>();
    std::shared_ptr<FakeSession> other = std::make_shared<FakeSession>();

    template <class MessageT>
    void sendTo(Service & to, const std::shared_ptr<FakeSession> &from, std::uint64_t requestId, MessageT message)
    {
        wire::FrameT frame;
        frame.request_id = requestId;
        frame.message.Set(std::move(message));
        to.handleFrame(from, frame);
    }

    template <class MessageT>
    void send(const std::shared_ptr<FakeSession> &from, std::uint64_t requestId, MessageT message)
    {
        sendTo(service, from, requestId, std::move(message));
    }

    void complete(std::size_t index, const std::string &answer = "done")
    {
        upstream.running.at(index).observer.ended(core::Completed{answer, {}});
    }

    void checkOutcome(const std::shared_ptr<FakeSession> &at, std::uint64_t requestId, wire::OutcomeKind kind)
    {
        CHECK_EQUAL(1U, at->results[requestId].size());
        CHECK(at->results[requestId].front() == kind);
    }
};

TEST(RunnerService, secondRequesterOfARunningChargeGetsItsOutcome)
{
    send(session, 1, charge("a"));
    service.handleSessionClosed(session);
    send(other, 7, charge("a"));
    CHECK_EQUAL(1U, upstream.running.size());
    complete(0);
    checkOutcome(other, 7, wire::OutcomeKind::Completed);
    send(other, 8, charge("a"));
    checkOutcome(other, 8, wire::OutcomeKind::Completed);
    CHECK_EQUAL(1U, upstream.running.size());
}

TEST(RunnerService, queuedChargeOfALostEntryIsDroppedAndMayBeRepeated)
{
    send(other, 1, model("a"));
    send(session, 2, charge("b"));
    service.handleSessionClosed(session);
    complete(0);
    CHECK_EQUAL(1U, upstream.running.size());
    send(other, 3, charge("b"));
    CHECK_EQUAL(2U, upstream.running.size());
}

TEST(RunnerService, duplicatedFrameIsAnsweredOnce)
{
    send(session, 1, charge("a"));
    send(session, 1, charge("a"));
    complete(0);
    checkOutcome(session, 1, wire::OutcomeKind::Completed);
    CHECK_EQUAL(1U, upstream.running.size());
}

TEST(RunnerService, newOwnerJoinsAStreamAfterItsPartialAnswer)
{
    send(session, 1, model("a"));
    upstream.running[0].observer.chunk(0, "kari");
    service.handleSessionClosed(session);
    clock.pass(base::Milliseconds(400));
    service.tick();
    wire::ExecuteCallT again = model("a");
    again.partial = "ka";
    send(other, 2, again);
    upstream.running[0].observer.chunk(4, "mo");
    complete(0, "karimo");
    CHECK(other->chunks[2] == (std::vector<std::pair<std::uint64_t, std::string>>{{2, "ri"}, {4, "mo"}}));
    checkOutcome(other, 2, wire::OutcomeKind::Completed);
    STRCMP_EQUAL("karimo", other->texts[2].c_str());
    CHECK_EQUAL(0, upstream.cancelled);
}

TEST(RunnerService, newOwnerGetsTheUndeliveredAnswer)
{
    send(session, 1, model("a"));
    upstream.running[0].observer.chunk(0, "kari");
    service.handleSessionClosed(session);
    complete(0, "karimo");
    wire::ExecuteCallT again = model("a");
    again.partial = "ka";
    send(other, 2, again);
    CHECK_EQUAL(1U, upstream.running.size());
    CHECK(other->chunks[2] == (std::vector<std::pair<std::uint64_t, std::string>>{{2, "rimo"}}));
    checkOutcome(other, 2, wire::OutcomeKind::Completed);
}

TEST(RunnerService, orphanedModelCallIsStoppedAfterItsGracePeriodAndAChargeNever)
{
    send(session, 1, model("a"));
    service.handleSessionClosed(session);
    clock.pass(base::Milliseconds(501));
    service.tick();
    CHECK_EQUAL(1, upstream.cancelled);
    CHECK_EQUAL(0U, service.inProgress());
    send(session, 2, charge("b"));
    service.handleSessionClosed(session);
    clock.pass(base::Milliseconds(250));
    service.tick();
    CHECK_EQUAL(1U, service.inProgress());
}

TEST(RunnerService, stalledChargeIsUnknownAfterItsTimeoutAndItsActualOutcomeIsKept)
{
    send(session, 1, charge("a"));
    clock.pass(base::Milliseconds(301));
    service.tick();
    checkOutcome(session, 1, wire::OutcomeKind::Unknown);
    complete(0);
    checkOutcome(session, 1, wire::OutcomeKind::Unknown);
    send(session, 2, charge("a"));
    checkOutcome(session, 2, wire::OutcomeKind::Completed);
    CHECK_EQUAL(1U, upstream.running.size());
}

TEST(RunnerService, timeoutOfTheCallOverridesTheSetting)
{
    wire::ExecuteCallT call = charge("a");
    call.timeout_ms = 2000;
    send(session, 1, call);
    clock.pass(base::Milliseconds(1999));
    service.tick();
    CHECK(session->results.empty());
    clock.pass(base::Milliseconds(2));
    service.tick();
    checkOutcome(session, 1, wire::OutcomeKind::Unknown);
}

TEST(RunnerService, drainingRefusesNewWorkAndFinishesTheRest)
{
    send(session, 1, model("a"));
    send(session, 2, model("b"));
    service.drain();
    send(session, 3, model("c"));
    checkOutcome(session, 3, wire::OutcomeKind::NotRun);
    CHECK(session->retryAfter[3] > 0);
    complete(0);
    complete(1);
    checkOutcome(session, 1, wire::OutcomeKind::Completed);
    checkOutcome(session, 2, wire::OutcomeKind::Completed);
    CHECK_EQUAL(0U, service.inProgress());
    CHECK(!service.isQuiescent());
    clock.pass(base::Milliseconds(501));
    CHECK(service.isQuiescent());
}

TEST(RunnerService, drainingRejectsQueuedCallsAfterTheStartPeriod)
{
    send(session, 1, model("a"));
    send(session, 2, model("b"));
    service.drain();
    clock.pass(base::Milliseconds(3001));
    service.tick();
    checkOutcome(session, 2, wire::OutcomeKind::NotRun);
    CHECK(session->results[1].empty());
    complete(0);
    checkOutcome(session, 1, wire::OutcomeKind::Completed);
    CHECK_EQUAL(1U, upstream.running.size());
}

TEST(RunnerService, overloadRejectsTheLowestPriorityImmediately)
{
    send(session, 1, model("a"));
    clock.pass(base::Milliseconds(600));
    complete(0);
    send(session, 2, model("b"));
    send(session, 3, model("c"));
    wire::ExecuteCallT high = model("d");
    high.priority = 5;
    send(session, 4, high);
    checkOutcome(session, 3, wire::OutcomeKind::NotRun);
    CHECK_EQUAL(1200U, session->retryAfter[3]);
    CHECK(session->results[4].empty());
    send(session, 5, model("e"));
    checkOutcome(session, 5, wire::OutcomeKind::NotRun);
}

TEST(RunnerService, cancelledCallIsAnsweredImmediately)
{
    send(session, 1, model("a"));
    send(session, 2, model("b"));
    send(session, 2, wire::CancelCallT{});
    checkOutcome(session, 2, wire::OutcomeKind::NotRun);
    send(session, 1, wire::CancelCallT{});
    checkOutcome(session, 1, wire::OutcomeKind::Unknown);
    CHECK_EQUAL(1, upstream.cancelled);
}

TEST(RunnerService, callCancelledByOneRequesterRunsOnForTheOther)
{
    send(session, 1, model("a"));
    send(other, 2, model("a"));
    send(session, 1, wire::CancelCallT{});
    checkOutcome(session, 1, wire::OutcomeKind::Unknown);
    complete(0);
    checkOutcome(other, 2, wire::OutcomeKind::Completed);
    CHECK_EQUAL(0, upstream.cancelled);
}

TEST(RunnerService, cancelledChargeRunsOnAndItsOutcomeIsKept)
{
    send(session, 1, charge("a"));
    send(session, 1, wire::CancelCallT{});
    checkOutcome(session, 1, wire::OutcomeKind::Unknown);
    complete(0);
    send(session, 2, charge("a"));
    checkOutcome(session, 2, wire::OutcomeKind::Completed);
    CHECK_EQUAL(1U, upstream.running.size());
}

TEST(RunnerService, suspectRunsAloneAndItsSecondCrashIsFinal)
{
    RunnerPolicy wide = policy();
    wide.concurrency.maxCalls = 4;
    Service runner(upstream, clock, log, wide);
    sendTo(runner, session, 1, model("a"));
    sendTo(runner, session, 2, model("b"));
    upstream.running[0].observer.ended(core::Unknown{"the engine died"});
    upstream.running[1].observer.ended(core::Unknown{"the engine died"});
    sendTo(runner, session, 3, model("c"));
    sendTo(runner, session, 4, model("a"));
    sendTo(runner, session, 5, model("d"));
    CHECK_EQUAL(3U, upstream.running.size());
    complete(2);
    CHECK_EQUAL(4U, upstream.running.size());
    upstream.running[3].observer.ended(core::Unknown{"the engine died"});
    checkOutcome(session, 4, wire::OutcomeKind::Failed);
    CHECK_EQUAL(5U, upstream.running.size());
    sendTo(runner, session, 6, model("a"));
    checkOutcome(session, 6, wire::OutcomeKind::NotRun);
}

// Guards against a crash that is forgotten because the next call with the digest could not reach the dead upstream: a
// request that two entries sent at once then crashed three upstreams.
TEST(RunnerService, callThatDidNotReachTheCrashedUpstreamClearsNoSuspicion)
{
    RunnerPolicy wide = policy();
    wide.concurrency.maxCalls = 4;
    Service runner(upstream, clock, log, wide);
    wire::ExecuteCallT same = model("b");
    same.body_digest = model("a").body_digest;
    sendTo(runner, session, 1, model("a"));
    sendTo(runner, session, 2, same);
    upstream.running[0].observer.ended(core::Unknown{"the engine died"});
    upstream.running[1].observer.ended(core::NotRun{"can't connect", std::nullopt});
    wire::SuspectCheckT check;
    check.digest = model("a").body_digest;
    check.holder = "entry";
    sendTo(runner, session, 3, std::move(check));
    CHECK(session->suspect.crashed);
}

// Guards against one crash that counts twice: a call that was started while the upstream was ending was quarantined.
TEST(RunnerService, callThatWasLostInTheSameCrashIsNoSecondOne)
{
    const auto sendSame = [this](std::uint64_t requestId, const std::string &program) {
        wire::ExecuteCallT call = model(program);
        call.body_digest = "same";
        send(session, requestId, std::move(call));
    };
    sendSame(1, "a");
    upstream.running[0].observer.ended(core::Unknown{"the engine died"});
    sendSame(2, "b");
    upstream.running[1].observer.ended(core::Unknown{"the engine died"});
    checkOutcome(session, 2, wire::OutcomeKind::Unknown);
    // It answers again, and crashes again.
    sendSame(3, "c");
    upstream.running[2].observer.chunk(0, "x");
    upstream.running[2].observer.ended(core::Unknown{"the engine died"});
    checkOutcome(session, 3, wire::OutcomeKind::Failed);
}

TEST(RunnerService, quarantineFromElsewhereIsKept)
{
    wire::QuarantineT quarantine;
    quarantine.digests.push_back(model("a").body_digest);
    send(session, 1, quarantine);
    send(session, 2, model("a"));
    checkOutcome(session, 2, wire::OutcomeKind::NotRun);
    CHECK(upstream.running.empty());
}

TEST(RunnerService, prefixIsHeldBetweenTurnsAndReleasedAtTheEnd)
{
    send(session, 1, model("a"));
    complete(0);
    CHECK_EQUAL(1, upstream.held);
    wire::ReleaseProgramT release;
    release.program = "a";
    send(session, 2, release);
    CHECK_EQUAL(1, upstream.released);
}

TEST(RunnerService, probeReportsQueueAndCachedPrefixAsTheEngineCorrectsThem)
{
    const std::string prompt(640, 'x');
    wire::ExecuteCallT first = model("a");
    first.prompt = prompt;
    send(session, 1, first);
    wire::ExecuteCallT waiting = model("b");
    waiting.prompt = prompt;
    send(session, 2, waiting);
    wire::ProbeT probe;
    probe.program = "a";
    send(session, 3, probe);
    CHECK_EQUAL(1U, session->load.running);
    CHECK_EQUAL(1U, session->load.queued);
    CHECK_EQUAL(160U, session->load.queued_tokens);
    CHECK_EQUAL(0U, session->load.cached_tokens);
    complete(0);
    send(session, 4, probe);
    CHECK_EQUAL(160U, session->load.cached_tokens);
    upstream.events.push_back({promptBlocks(prompt).at(5), false});
    service.tick();
    send(session, 5, probe);
    CHECK_EQUAL(80U, session->load.cached_tokens);
}

TEST(RunnerService, lateCacheEventsOfAnEndedProgramHoldNothing)
{
    wire::ExecuteCallT call = model("a");
    call.prompt = std::string(640, 'x');
    send(session, 1, call);
    complete(0);
    wire::ReleaseProgramT release;
    release.program = "a";
    send(session, 2, release);
    const int heldBefore = upstream.held;
    for (const BlockHash block : promptBlocks(call.prompt)) {
        upstream.events.push_back({block, true});
    }
    service.tick();
    CHECK_EQUAL(heldBefore, upstream.held);
    wire::ProbeT probe;
    probe.program = "a";
    send(session, 3, probe);
    CHECK_EQUAL(0U, session->load.cached_tokens);
}

// Guards against calls that are started as before although the upstream has named a limit, and against a limit that stays
// after it has ended.
TEST(RunnerService, callsStartNoFasterThanTheUpstreamTakesThem)
{
    RunnerPolicy wide = policy();
    wide.concurrency.maxCalls = 20;
    wide.maxQueueWait = base::Milliseconds(60'000);
    Service limited(upstream, clock, log, wide);
    clock.pass(base::Milliseconds(1000));
    std::uint64_t request = 0;
    const auto sendCall = [&] {
        ++request;
        sendTo(limited, session, request, charge("p" + std::to_string(request)));
    };
    sendCall();
    clock.pass(base::Milliseconds(20));
    upstream.running.back().observer.rateStated({requests::RequestRate(2)});
    complete(0);
    for (int i = 0; i < 12; ++i) {
        sendCall();
    }
    CHECK_EQUAL(1U, upstream.running.size());
    for (int i = 0; i < 100; ++i) {
        clock.pass(base::Milliseconds(40));
        limited.tick();
    }
    // Two a second in four seconds, less what the ticks come late.
    CHECK(upstream.running.size() <= 9 && upstream.running.size() >= 8);
    upstream.running.back().observer.rateStated({});
    limited.tick();
    CHECK_EQUAL(13U, upstream.running.size());
}

// Guards against calls that wait in the queue although they can't be started in time.
TEST(RunnerService, callsBeyondTheUpstreamsLimitAreRejectedWithTheTimeUntilThereIsRoom)
{
    clock.pass(base::Milliseconds(1000));
    send(session, 1, charge("one"));
    clock.pass(base::Milliseconds(20));
    upstream.running.back().observer.rateStated({requests::RequestRate(2)});
    complete(0);
    send(session, 2, charge("two"));
    send(session, 3, charge("three"));
    send(session, 4, charge("four"));
    checkOutcome(session, 4, wire::OutcomeKind::NotRun);
    CHECK_EQUAL(1500U, session->retryAfter[4]);
    CHECK(session->results[2].empty());
}
