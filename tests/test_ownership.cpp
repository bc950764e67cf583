#include "entry/fixedpolicies.h"
#include "entry/ownershipmanager.h"
#include "memorykeyvalue.h"
#include "service/programservice.h"
#include "state/keyvaluelog.h"
#include "wire/iothreads.h"

#include <future>

#include <boost/asio/post.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace briarhinge;
using tests::MemoryKeyValue;

namespace
{

constexpr base::Milliseconds noWait{0};
constexpr base::Milliseconds neverPaused{3'600'000};
constexpr base::Milliseconds longFlush{3'600'000};
constexpr base::Milliseconds shortRetry{1};
constexpr int entryCount = 3;

/** The upstream of all entries. Counts how often each call that is not idempotent ran. */
class CountingDispatcher
{
public:
    void dispatch(const core::DispatchCall &call, const service::DispatchObserver &observer)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_runs[call.program.value() + "/" + call.request.input] += call.request.idempotent ? 0 : 1;
        }
        observer.ended(core::Completed{"done: " + call.request.input, {}});
    }

    void cancel(const base::ProgramId &, base::CallNumber)
    {
    }

    void release(const base::ProgramId &)
    {
    }

    int runs(const std::string &call) const
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_runs.find(call);
        return found == m_runs.end() ? 0 : found->second;
    }

private:
    mutable std::mutex m_mutex;
    std::map<std::string, int> m_runs;
};

/** One entry without its network. */
class Node
{
public:
    using Log = state::KeyValueLog<MemoryKeyValue>;
    using Service = service::ProgramService<base::SystemClock, Log, CountingDispatcher, entry::FixedPolicies>;

    Node(MemoryKeyValue &keyValue, CountingDispatcher &dispatcher, logging::EventLog &events, const std::string &name,
         std::atomic<int> &incarnations)
        : m_owners({base::ProcessId(name + "." + std::to_string(++incarnations)), name, {"127.0.0.1", 1}}, neverPaused)
        , m_log(
              keyValue, m_owners.self().incarnation, {longFlush, shortRetry},
              [this](std::function<void()> work) {
                  boost::asio::post(m_threads.context(), std::move(work));
              },
              [this] {
                  m_ownership.handleLogSealed();
              })
        , m_service(m_clock, m_log, dispatcher, m_policies, m_invariants,
                    [this](const base::ProgramId &root) {
                        return m_owners.serves(root);
                    })
        , m_ownership(keyValue, m_log, m_service, m_owners, events, noWait, [name, &incarnations] {
            return base::ProcessId(name + "." + std::to_string(++incarnations));
        })
    {
        m_owners.recordHeartbeat();
    }

    ~Node()
    {
        m_threads.stop();
    }

    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    bool runPass()
    {
        return m_ownership.runPass();
    }

    void refresh()
    {
        m_ownership.waitForTableChange(noWait);
    }

    bool flush()
    {
        return m_log.flush(longFlush);
    }

    /** @return the number of invariant violations that this process detected */
    int violations() const
    {
        return m_violations;
    }

    std::string name() const
    {
        return m_owners.self().name;
    }

    bool serves(const std::string &program) const
    {
        return m_owners.serves(base::ProgramId(program));
    }

    api::ClientReply ask(api::Verb verb, const std::string &program, std::uint32_t number, const std::string &body)
    {
        auto promise = std::make_shared<std::promise<api::ClientReply>>();
        auto reply = promise->get_future();
        const api::ClientSink sink{[](std::uint64_t, const std::string &) {},
                                   [promise](const api::ClientReply &answer) {
                                       promise->set_value(answer);
                                   }};
        m_service.handle({verb, base::ProgramId(program), base::CallNumber(number), 0, body}, sink);
        return reply.get();
    }

private:
    wire::IoThreads m_threads{1};
    std::atomic<int> m_violations{0};
    base::InvariantMonitor m_invariants{[this](const std::string &) {
        ++m_violations;
    }};
    base::SystemClock m_clock;
    entry::FixedPolicies m_policies;
    entry::OwnerMap m_owners;
    Log m_log;
    Service m_service;
    entry::OwnershipManager<MemoryKeyValue, Log, Service> m_ownership;
};

/** Several entries that share one key-value service and one upstream. */
class Cluster
{
public:
    Cluster()
    {
        for (int i = 0; i < entryCount; ++i) {
            m_nodes.push_back(start(i));
        }
        runUntilStable();
    }

    std::unique_ptr<Node> start(int index)
    {
        return std::make_unique<Node>(keyValue, dispatcher, m_events, "entry-" + std::to_string(index), m_incarnations);
    }

    Node &node(int index)
    {
        return *m_nodes[static_cast<std::size_t>(index)];
    }

    /** Kills an entry and starts a new one in its place. */
    void kill(int index)
    {
        keyValue.expireLease("entries/" + node(index).name());
        m_nodes[static_cast<std::size_t>(index)] = start(index);
    }

    /** Expires the lease of an entry without its knowledge, as during a pause. */
    void expireLease(int index)
    {
        keyValue.expireLease("entries/" + node(index).name());
    }

    /** Runs passes on all entries except a paused one until the table is stable. */
    void runUntilStable(int paused = -1)
    {
        constexpr int passes = 6;
        for (int pass = 0; pass < passes; ++pass) {
            for (int i = 0; i < entryCount; ++i) {
                if (i != paused) {
                    node(i).refresh();
                    node(i).runPass();
                }
            }
        }
    }

    int owner(const std::string &program)
    {
        for (int i = 0; i < entryCount; ++i) {
            if (node(i).serves(program)) {
                return i;
            }
        }
        return -1;
    }

    MemoryKeyValue keyValue;
    CountingDispatcher dispatcher;

private:
    logging::EventLog m_events{"test"};
    std::atomic<int> m_incarnations{0};
    std::vector<std::unique_ptr<Node>> m_nodes;
};

std::string toolBody(const std::string &input, const std::string &extends)
{
    nlohmann::json body{{"type", "tool"}, {"tool", "charge"}, {"input", input}, {"idempotent", false}};
    if (!extends.empty()) {
        body["extends"] = extends;
    }
    return body.dump();
}

std::string parseHistory(const api::ClientReply &reply)
{
    return nlohmann::json::parse(reply.body).at("history").get<std::string>();
}

const std::string program = "order-1";
const std::string opening = R"({"id":"order-1","kind":"chat","account":"huye"})";

}

TEST_GROUP(Ownership)
{
    Cluster cluster;
    std::string history;

    void setup() override
    {
        const int owner = cluster.owner(program);
        CHECK_EQUAL(200, cluster.node(owner).ask(api::Verb::OpenProgram, program, 0, opening).status);
        history = charge(owner, 1, "first");
    }

    std::string charge(int owner, std::uint32_t number, const std::string &input)
    {
        const auto reply = cluster.node(owner).ask(api::Verb::MakeCall, program, number, toolBody(input, history));
        CHECK_EQUAL(200, reply.status);
        CHECK(cluster.node(owner).flush());
        return parseHistory(reply);
    }
};

TEST(Ownership, everyPartitionHasOneOwnerThatServesIt)
{
    for (int i = 0; i < 100; ++i) {
        int serving = 0;
        for (int entry = 0; entry < entryCount; ++entry) {
            serving += cluster.node(entry).serves("order-" + std::to_string(i)) ? 1 : 0;
        }
        CHECK_EQUAL(1, serving);
    }
}

TEST(Ownership, theProgramOfADeadEntryGoesOnAtAnother)
{
    cluster.kill(cluster.owner(program));
    cluster.runUntilStable();
    const int next = cluster.owner(program);
    CHECK(next >= 0);
    history = charge(next, 2, "second");
    CHECK_EQUAL(1, cluster.dispatcher.runs("order-1/first"));
    CHECK_EQUAL(1, cluster.dispatcher.runs("order-1/second"));
}

TEST(Ownership, aPausedOwnerCanChargeNothingAfterATakeover)
{
    const int old = cluster.owner(program);
    cluster.expireLease(old);
    cluster.runUntilStable(old);
    CHECK(cluster.node(old).serves(program));
    const auto reply = cluster.node(old).ask(api::Verb::MakeCall, program, 2, toolBody("second", history));
    CHECK_EQUAL(503, reply.status);
    CHECK_EQUAL(0, cluster.dispatcher.runs("order-1/second"));
    cluster.runUntilStable();
    CHECK_EQUAL(
        200,
        cluster.node(cluster.owner(program)).ask(api::Verb::MakeCall, program, 2, toolBody("second", history)).status);
    CHECK_EQUAL(1, cluster.dispatcher.runs("order-1/second"));
}

TEST(Ownership, logsThatNobodyNeedsAreRemoved)
{
    cluster.kill(cluster.owner(program));
    cluster.runUntilStable();
    int sealsAndMarkers = 0;
    int others = 0;
    for (const auto &[key, value] : cluster.keyValue.snapshot()) {
        if (key.starts_with("log/")) {
            const auto batch = std::get<state::LogBatch>(state::decodeBatch(value));
            (batch.seal || batch.nonce == "removed" ? sealsAndMarkers : others) += 1;
        }
    }
    CHECK(sealsAndMarkers >= 1);
    // The snapshot of the adopted program in the log of its new owner.
    CHECK_EQUAL(1, others);
}

TEST(Ownership, noChargeRunsTwiceAndNoStoredTurnIsLostUnderFaults)
{
    CHECK(rc::check("charges run at most once, exactly once when completed", [] {
        Cluster faulty;
        std::string head;
        std::uint32_t number = 1;
        int paused = -1;
        const int steps = *rc::gen::inRange(5, 40);
        for (int i = 0; i < steps; ++i) {
            const int entry = *rc::gen::inRange(0, entryCount);
            switch (*rc::gen::inRange(0, 8)) {
            case 0:
                faulty.kill(entry);
                break;
            case 1:
                faulty.expireLease(entry);
                paused = entry;
                break;
            case 2:
                faulty.keyValue.loseAnswers(*rc::gen::inRange(1, 4));
                break;
            case 3:
                faulty.keyValue.setOutage(true);
                break;
            case 4:
                faulty.keyValue.setOutage(false);
                paused = -1;
                break;
            case 5:
                faulty.runUntilStable(paused);
                break;
            default:
                break;
            }
            // The call is sent to each entry that considers itself the owner, including a paused one.
            const std::string input = "charge " + std::to_string(number);
            const std::string call = fmt::format("{}/{}", program, input);
            const std::string body = toolBody(input, head);
            std::string nextHead;
            std::string unknownHead;
            for (int offset = 0; offset < entryCount; ++offset) {
                Node &node = faulty.node((entry + offset) % entryCount);
                if (!node.serves(program) || node.ask(api::Verb::OpenProgram, program, 0, opening).status != 200) {
                    continue;
                }
                const auto reply = node.ask(api::Verb::MakeCall, program, number, body);
                RC_ASSERT(node.violations() == 0);
                const int runs = faulty.dispatcher.runs(call);
                RC_ASSERT(runs <= 1);
                if (reply.status == 200) {
                    RC_ASSERT(runs == 1);
                    RC_ASSERT(nextHead.empty() || nextHead == parseHistory(reply));
                    nextHead = parseHistory(reply);
                }
                if (reply.status == 504 && nextHead.empty() && reply.body.find("history") != std::string::npos) {
                    unknownHead = parseHistory(reply);
                }
            }
            if (!nextHead.empty() || !unknownHead.empty()) {
                head = nextHead.empty() ? unknownHead : nextHead;
                ++number;
            }
        }
        faulty.keyValue.setOutage(false);
        faulty.keyValue.loseAnswers(0);
    }));
}
