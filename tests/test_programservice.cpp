#include "service/programservice.h"

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace briarhinge;

namespace
{

using CallKey = std::pair<std::string, std::uint32_t>;

/** Runs functions one after another on a thread of its own. */
class Worker
{
public:
    Worker()
        : m_thread([this](const std::stop_token &stop) {
            loop(stop);
        })
    {
    }

    void post(std::function<void()> work)
    {
        const std::lock_guard lock(m_mutex);
        m_queue.push_back(std::move(work));
        m_arrived.notify_one();
    }

    /** Stops the thread once it has run all posted functions. */
    void stop()
    {
        m_thread.request_stop();
        m_thread.join();
    }

private:
    void loop(const std::stop_token &stop)
    {
        while (true) {
            std::function<void()> work;
            {
                std::unique_lock lock(m_mutex);
                if (!m_arrived.wait(lock, stop, [this] {
                        return !m_queue.empty();
                    })) {
                    return;
                }
                work = std::move(m_queue.front());
                m_queue.pop_front();
            }
            work();
        }
    }

    std::mutex m_mutex;
    std::condition_variable_any m_arrived;
    std::deque<std::function<void()>> m_queue;
    std::jthread m_thread;
};

class FixedClock
{
public:
    base::Timestamp now() const
    {
        return m_now;
    }

    void advance(base::Milliseconds time)
    {
        m_now += time;
    }

private:
    base::Timestamp m_now{base::Milliseconds(1)};
};

class FixedPolicies
{
public:
    std::optional<core::KindPolicy> policyForKind(const base::KindName &) const
    {
        core::KindPolicy policy;
        policy.budget = {base::Tokens(1'000'000), base::MicroMoney(1'000'000), 10'000};
        policy.wallTime = std::chrono::hours(1);
        return policy;
    }
};

/** A log that refuses every fourth append that a call waits for. */
class FlakyLog
{
public:
    void appendRequired(const std::vector<core::Record> &, const service::StoreHandler &handler)
    {
        const bool isRefused = ++m_appends % 4 == 0;
        m_worker.post([handler, isRefused] {
            if (isRefused) {
                handler(service::NotStored{"outage", base::Milliseconds(1)});
            } else {
                handler(service::Stored{});
            }
        });
    }

    void appendDeferred(const std::vector<core::Record> &, const service::StoreHandler &handler)
    {
        m_worker.post([handler] {
            handler(service::Stored{});
        });
    }

    void stop()
    {
        m_worker.stop();
    }

private:
    std::atomic<std::uint32_t> m_appends{0};
    Worker m_worker;
};

/** Runs calls on several threads. Every fifth call is refused, and the answer of every seventh is lost. */
class FlakyDispatcher
{
public:
    void dispatch(const core::DispatchCall &call, const service::DispatchObserver &observer)
    {
        const CallKey key{call.program.value(), call.request.number.value()};
        const std::uint32_t count = ++m_calls;
        m_workers[count % m_workers.size()].post([this, key, count, observer] {
            if (count % 5 == 0) {
                observer.ended(core::NotRun{"refused", base::Milliseconds(1)});
                return;
            }
            {
                const std::lock_guard lock(m_mutex);
                ++m_effects[key];
            }
            observer.chunk(0, "done ");
            observer.chunk(5, key.first);
            if (count % 7 == 0) {
                observer.ended(core::Unknown{"lost"});
            } else {
                observer.ended(core::Completed{"done " + key.first, {}});
            }
        });
    }

    void cancel(const base::ProgramId &, base::CallNumber)
    {
    }

    void release(const base::ProgramId &)
    {
    }

    void stop()
    {
        for (Worker &worker : m_workers) {
            worker.stop();
        }
    }

    std::uint32_t effects(const CallKey &key)
    {
        const std::lock_guard lock(m_mutex);
        return m_effects[key];
    }

private:
    std::atomic<std::uint32_t> m_calls{0};
    std::mutex m_mutex;
    std::map<CallKey, std::uint32_t> m_effects;
    std::array<Worker, 3> m_workers;
};

/** Keeps the observers of dispatched calls, so that the test can end the calls. */
class ManualDispatcher
{
public:
    void dispatch(const core::DispatchCall &, const service::DispatchObserver &observer)
    {
        observers.push_back(observer);
    }

    void cancel(const base::ProgramId &, base::CallNumber)
    {
    }

    void release(const base::ProgramId &)
    {
    }

    std::vector<service::DispatchObserver> observers;
};

/** Keeps the handlers of required appends, so that the test can confirm them. */
class ManualLog
{
public:
    void appendRequired(const std::vector<core::Record> &, const service::StoreHandler &handler)
    {
        handlers.push_back(handler);
    }

    void appendDeferred(const std::vector<core::Record> &, const service::StoreHandler &)
    {
    }

    std::vector<service::StoreHandler> handlers;
};

/** Receives replies and lets the test wait for the first one. */
class ReplyWaiter
{
public:
    api::ClientSink sink()
    {
        api::ClientSink sink;
        sink.chunk = [](std::uint64_t, const std::string &) {};
        sink.reply = [this](const api::ClientReply &reply) {
            const std::lock_guard lock(m_mutex);
            m_replies.push_back(reply);
            m_arrived.notify_all();
        };
        return sink;
    }

    api::ClientReply wait()
    {
        std::unique_lock lock(m_mutex);
        m_arrived.wait(lock, [this] {
            return !m_replies.empty();
        });
        return m_replies.front();
    }

    std::size_t count()
    {
        const std::lock_guard lock(m_mutex);
        return m_replies.size();
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_arrived;
    std::vector<api::ClientReply> m_replies;
};

api::ClientRequest openRequest(const std::string &program)
{
    api::ClientRequest request;
    request.verb = api::Verb::OpenProgram;
    request.program = base::ProgramId(program);
    request.body = R"({"id":")" + program + R"(","kind":"chat","account":"huye"})";
    return request;
}

api::ClientRequest chargeRequest(const std::string &program, std::uint32_t number, const std::string &history,
                                 const std::string &input = "12 pouches")
{
    api::ClientRequest request;
    request.verb = api::Verb::MakeCall;
    request.program = base::ProgramId(program);
    request.number = base::CallNumber(number);
    nlohmann::json body{{"type", "tool"}, {"tool", "charge"}, {"input", input}};
    if (!history.empty()) {
        body["extends"] = history;
    }
    request.body = body.dump();
    return request;
}

template <class ServiceT>
api::ClientReply handleAndWait(ServiceT &service, const api::ClientRequest &request)
{
    ReplyWaiter reply;
    service.handle(request, reply.sink());
    return reply.wait();
}

/** Repeats each call of a program until its outcome is final, and returns the outcomes. */
template <class ServiceT>
std::vector<std::string> driveProgram(ServiceT &service, const std::string &program, std::uint32_t calls)
{
    std::vector<std::string> outcomes;
    std::string history;
    handleAndWait(service, openRequest(program));
    for (std::uint32_t number = 1; number <= calls; ++number) {
        nlohmann::json reply;
        do {
            reply = nlohmann::json::parse(handleAndWait(service, chargeRequest(program, number, history)).body);
        } while (reply.value("outcome", "") == "notRun");
        outcomes.push_back(reply.value("outcome", "") + reply.value("answer", "") + reply.value("history", ""));
        history = reply.value("history", "");
    }
    return outcomes;
}

}

TEST_GROUP(ProgramService)
{
    FixedClock clock;
    FixedPolicies policies;
    base::InvariantMonitor invariants{[](const std::string &) {}};
};

TEST(ProgramService, RacingCallersGetOneOutcomeForEachCallAndOneEffect)
{
    constexpr std::size_t programs = 6;
    constexpr std::size_t callersEach = 3;
    constexpr std::uint32_t calls = 40;
    FlakyLog log;
    FlakyDispatcher dispatcher;
    service::ProgramService service(clock, log, dispatcher, policies, invariants);
    std::vector<std::vector<std::string>> outcomes(programs * callersEach);
    {
        std::vector<std::jthread> callers;
        for (std::size_t i = 0; i < outcomes.size(); ++i) {
            callers.emplace_back([&, i] {
                outcomes[i] = driveProgram(service, "p" + std::to_string(i % programs), calls);
            });
        }
    }
    dispatcher.stop();
    log.stop();
    for (std::size_t i = 0; i < outcomes.size(); ++i) {
        CHECK(outcomes[i] == outcomes[i % programs]);
        for (std::uint32_t number = 1; number <= calls; ++number) {
            LONGS_EQUAL(1, dispatcher.effects({"p" + std::to_string(i % programs), number}));
        }
    }
    LONGS_EQUAL(0, invariants.violationCount());
}

TEST(ProgramService, EachCallerGetsOneReply)
{
    FlakyLog log;
    FlakyDispatcher dispatcher;
    std::array<ReplyWaiter, 8> replies;
    service::ProgramService service(clock, log, dispatcher, policies, invariants);
    handleAndWait(service, openRequest("p"));
    for (ReplyWaiter &reply : replies) {
        service.handle(chargeRequest("p", 1, ""), reply.sink());
    }
    for (ReplyWaiter &reply : replies) {
        reply.wait();
    }
    handleAndWait(service, chargeRequest("p", 1, ""));
    dispatcher.stop();
    log.stop();
    for (ReplyWaiter &reply : replies) {
        LONGS_EQUAL(1, reply.count());
    }
}

TEST(ProgramService, OutcomeFromAnEarlierTermIsNotTakenForTheCallOfThisTerm)
{
    ManualLog log;
    ManualDispatcher dispatcher;
    service::ProgramService service(clock, log, dispatcher, policies, invariants);
    const base::ProgramId id("p");
    handleAndWait(service, openRequest("p"));
    core::ProgramTree opened;
    service.visit([&](const base::ProgramId &, const core::ProgramTree &tree) {
        opened = tree;
    });
    ReplyWaiter earlier;
    service.handle(chargeRequest("p", 1, "", "12 pouches"), earlier.sink());
    log.handlers[0](service::Stored{});
    service.removeTrees([](const base::ProgramId &) {
        return true;
    });
    service.adopt(id, opened);
    ReplyWaiter later;
    service.handle(chargeRequest("p", 1, "", "13 pouches"), later.sink());
    log.handlers[1](service::Stored{});
    dispatcher.observers[0].ended(core::Completed{"12 charged", {}});
    LONGS_EQUAL(0, later.count());
    dispatcher.observers[1].ended(core::Completed{"13 charged", {}});
    CHECK(later.wait().body.find("13 charged") != std::string::npos);
}

TEST(ProgramService, ClaimStoredInAnEarlierTermDoesNotDispatchTheCallOfThisTerm)
{
    ManualLog log;
    ManualDispatcher dispatcher;
    service::ProgramService service(clock, log, dispatcher, policies, invariants);
    const base::ProgramId id("p");
    handleAndWait(service, openRequest("p"));
    core::ProgramTree opened;
    service.visit([&](const base::ProgramId &, const core::ProgramTree &tree) {
        opened = tree;
    });
    ReplyWaiter earlier;
    service.handle(chargeRequest("p", 1, ""), earlier.sink());
    service.removeTrees([](const base::ProgramId &) {
        return true;
    });
    service.adopt(id, opened);
    ReplyWaiter later;
    service.handle(chargeRequest("p", 1, ""), later.sink());
    log.handlers[0](service::Stored{});
    LONGS_EQUAL(0, dispatcher.observers.size());
    log.handlers[1](service::Stored{});
    LONGS_EQUAL(1, dispatcher.observers.size());
}

TEST(ProgramService, AbandonedProgramIsEndedBySweepsAndThenForgotten)
{
    FlakyLog log;
    FlakyDispatcher dispatcher;
    service::ProgramService service(clock, log, dispatcher, policies, invariants);
    api::ClientRequest open;
    open.verb = api::Verb::OpenProgram;
    open.body = R"({"id":"p1","kind":"chat","account":"huye"})";
    LONGS_EQUAL(200, handleAndWait(service, open).status);
    api::ClientRequest show;
    show.program = base::ProgramId("p1");
    const core::RetentionPolicy policy{base::Milliseconds(0), base::Milliseconds(1'000)};
    clock.advance(std::chrono::hours(25));
    service.sweep(policy);
    CHECK(nlohmann::json::parse(handleAndWait(service, show).body).at("ended").get<bool>());
    service.sweep(policy);
    clock.advance(base::Milliseconds(1'001));
    service.sweep(policy);
    LONGS_EQUAL(404, handleAndWait(service, show).status);
    log.stop();
    dispatcher.stop();
}
