#include "forwarding/crashdetector.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace briarhinge;
using namespace briarhinge::forwarding;

namespace
{

/** Answers probes when told to, by address. */
class FakeProber
{
public:
    void probe(const wire::Address &address, base::Milliseconds, std::function<void(Reachability)> onResult)
    {
        m_probes.emplace_back(address, std::move(onResult));
    }

    /** Answers all probes, also those that the answers cause. */
    void answer()
    {
        while (!m_probes.empty()) {
            const auto [address, onResult] = std::move(m_probes.front());
            m_probes.erase(m_probes.begin());
            ++answered;
            const auto found = results.find(address.port);
            onResult(found == results.end() ? Reachability::Reachable : found->second);
        }
    }

    std::map<std::uint16_t, Reachability> results;
    int answered = 0;

private:
    std::vector<std::pair<wire::Address, std::function<void(Reachability)>>> m_probes;
};

constexpr std::uint16_t portOf(int runner)
{
    return static_cast<std::uint16_t>(100 + runner);
}

}

TEST_GROUP(CrashDetector)
{
    void setup() override
    {
        for (int i = 0; i < 4; ++i) {
            registerRunner(i, false);
        }
    }

    /** Runners 0 and 1 are in one zone, 2 and 3 in another. */
    void registerRunner(int index, bool isDraining)
    {
        dispatch::RegisteredRunner runner;
        runner.id = dispatch::RunnerId("r" + std::to_string(index));
        runner.service = requests::ServiceName("s");
        runner.address = {"127.0.0.1", portOf(index)};
        runner.zone = base::ZoneName(index < 2 ? "a" : "b");
        runner.isDraining = isDraining;
        runner.sequence = isDraining ? 2 : 1;
        balancer.registerRunner(runner);
    }

    void lose(int runner, const std::string &digest)
    {
        const std::string id = "r" + std::to_string(runner);
        detector.connectionLost({suspects.nextCrash(id, 0), {base::Digest(digest), 1, false}});
    }

    logging::EventLog log{"test"};
    metrics::ExchangeMetrics metrics;
    FakeProber prober;
    dispatch::LoadBalancer balancer{base::ZoneName("a")};
    placement::SuspectTable suspects{placement::SuspectLimits{}};
    std::vector<placement::CrashReport> crashes;
    CrashDetector<FakeProber> detector{
        prober, balancer, suspects, log, metrics, [this](const placement::CrashReport &report) {
            crashes.push_back(report);
        }};
};

// Guards against crashes that nobody counts: attempts at one request ended runner after runner.
TEST(CrashDetector, reportsARunnerThatNoLongerListensWithAllItsRequests)
{
    prober.results[portOf(0)] = Reachability::Refused;
    lose(0, "a");
    lose(0, "b");
    lose(0, "a");
    CHECK(placement::SuspectVerdict::Wait == suspects.admit(base::Digest("a"), std::chrono::steady_clock::now()));
    prober.answer();
    LONGS_EQUAL(1, crashes.size());
    STRCMP_EQUAL("r0", crashes[0].crash.runner.c_str());
    LONGS_EQUAL(2, crashes[0].requests.size());
    // The runner and its neighbour.
    LONGS_EQUAL(2, prober.answered);
    CHECK(suspects.isEmpty());
}

// Guards against refusing a request whose connections were reset while the runners lived on.
TEST(CrashDetector, aRunnerThatListensHasNotCrashed)
{
    lose(0, "a");
    prober.answer();
    LONGS_EQUAL(0, crashes.size());
    LONGS_EQUAL(1, prober.answered);
    CHECK(suspects.isEmpty());
}

// Guards against refusing a request whose runners were cut off.
TEST(CrashDetector, aRunnerThatCannotBeReachedHasNotCrashed)
{
    prober.results[portOf(0)] = Reachability::Silent;
    lose(0, "a");
    prober.answer();
    LONGS_EQUAL(0, crashes.size());
    CHECK(suspects.isEmpty());
}

// Guards against refusing a request that ran on runners which were replaced in a release.
TEST(CrashDetector, aRunnerThatWasLeavingHasNotCrashed)
{
    prober.results[portOf(0)] = Reachability::Refused;
    registerRunner(0, true);
    lose(0, "a");
    LONGS_EQUAL(0, prober.answered);
    lose(1, "a");
    // Its registration changes while it is checked.
    registerRunner(1, true);
    prober.results[portOf(1)] = Reachability::Refused;
    prober.answer();
    balancer.removeRunner(dispatch::RunnerId("r2"));
    lose(2, "a");
    prober.answer();
    LONGS_EQUAL(0, crashes.size());
    CHECK(suspects.isEmpty());
}

// Guards against refusing a request whose runners went with their zone.
TEST(CrashDetector, aRunnerWhoseZoneIsDownHasNotCrashedAlone)
{
    prober.results[portOf(0)] = Reachability::Refused;
    prober.results[portOf(1)] = Reachability::Refused;
    lose(0, "a");
    lose(1, "b");
    prober.answer();
    LONGS_EQUAL(0, crashes.size());
    CHECK(suspects.isEmpty());
}

// Guards against taking runners that one request ended at the same moment for a zone that is down.
TEST(CrashDetector, aRequestThatWasRunningOnAllOfThemMayHaveCrashedAZone)
{
    prober.results[portOf(0)] = Reachability::Refused;
    prober.results[portOf(1)] = Reachability::Refused;
    lose(0, "a");
    lose(0, "b");
    lose(1, "a");
    prober.answer();
    LONGS_EQUAL(2, crashes.size());
    for (const placement::CrashReport &report : crashes) {
        LONGS_EQUAL(1, report.requests.size());
        STRCMP_EQUAL("a", report.requests[0].digest.value().c_str());
    }
}

// Guards against a flood of crashing requests that hide behind one another.
TEST(CrashDetector, aNeighbourThatCrashedBeforeProvesNothing)
{
    prober.results[portOf(0)] = Reachability::Refused;
    lose(0, "a");
    prober.answer();
    suspects.recordCrash(crashes[0], std::chrono::steady_clock::now());
    prober.results[portOf(1)] = Reachability::Refused;
    lose(1, "b");
    prober.answer();
    LONGS_EQUAL(2, crashes.size());
}
