#include "dispatch/loadbalancer.h"
#include "dispatch/permitkeeper.h"
#include "dispatch/permitschedule.h"
#include "dispatch/permitwait.h"
#include "dispatch/returnschedule.h"
#include "forwarding/permitserver.h"
#include "forwarding/ratemessages.h"

#include <algorithm>
#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace briarhinge;
using namespace std::chrono_literals;
using dispatch::KeeperId;
using dispatch::KnownRate;
using dispatch::PermitDenied;
using dispatch::PermitGranted;
using dispatch::PermitKeeper;
using dispatch::RunnerId;
using requests::RequestRate;

namespace
{

using Time = dispatch::RateStatement::Time;
using Duration = Time::duration;

const Time start = Time{} + std::chrono::hours(1);
const RunnerId one{"one"};
const RunnerId two{"two"};
const requests::ServiceName chat("chat");

KnownRate limited(const RunnerId &id, double limit, Time now = start)
{
    return {id, {1, RequestRate(limit), now, now}};
}

bool isGranted(const PermitKeeper::Decision &decision, const RunnerId &runner, Duration delay = {})
{
    const auto *granted = std::get_if<PermitGranted>(&decision);
    return granted != nullptr && granted->runner == runner && granted->delay == delay;
}

/** What happens to a deployment of entries, keepers and one runner with a limit. */
struct Scenario
{
    unsigned seed = 0;
    double limit = 1;
    int entries = 3;
    int keepers = 3;
    /** Requests a second that reach each entry. */
    double requestsPerEntry = 1;
    std::chrono::milliseconds maxDelay{5};
    std::chrono::milliseconds maxWait{0};
    /** Time between two restarts of a keeper, and of an entry; zero for none. */
    std::chrono::milliseconds keeperRestartInterval{0};
    std::chrono::milliseconds entryRestartInterval{0};
    /** Entries that reach only the first keeper. */
    int cutEntries = 0;
};

/** Simulates a deployment event by event. */
class Simulation
{
public:
    explicit Simulation(const Scenario &scenario)
        : m_scenario(scenario)
        , m_random(scenario.seed)
        , m_keepers(static_cast<std::size_t>(scenario.keepers))
        , m_entries(static_cast<std::size_t>(scenario.entries))
    {
        for (auto &keeper : m_keepers) {
            keeper.emplace(start - 1s);
        }
        for (int i = 0; i < scenario.entries; ++i) {
            startEntry(i);
            scheduleArrival(i);
        }
        scheduleRestarts(scenario.keeperRestartInterval, [this] {
            m_keepers[pick(m_keepers.size())].emplace(m_now);
        });
        scheduleRestarts(scenario.entryRestartInterval, [this] {
            startEntry(static_cast<int>(pick(m_entries.size())));
        });
    }

    /** @return the times at which the runner got requests */
    const std::deque<Time> &run(Duration duration)
    {
        while (!m_events.empty() && m_events.top().time < start + duration) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.time;
            event.action();
        }
        return m_sends;
    }

    /** @return most requests that the runner got within any four seconds */
    std::size_t mostInFourSeconds()
    {
        std::sort(m_sends.begin(), m_sends.end());
        std::size_t most = 0;
        for (std::size_t first = 0, last = 0; last < m_sends.size(); ++last) {
            while (m_sends[last] - m_sends[first] >= 4s) {
                ++first;
            }
            most = std::max(most, last - first + 1);
        }
        return most;
    }

private:
    struct Event
    {
        Time time;
        std::function<void()> action;

        bool operator<(const Event &other) const
        {
            return time > other.time;
        }
    };

    struct Entry
    {
        int incarnation = 0;
        dispatch::PermitSchedule<dispatch::RunnerId> schedule;
    };

    std::size_t pick(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
    }

    Duration delay()
    {
        return std::chrono::microseconds(
            std::uniform_int_distribution<std::int64_t>(100, 100 + m_scenario.maxDelay.count() * 1000)(m_random));
    }

    void at(Time time, std::function<void()> action)
    {
        m_events.push({time, std::move(action)});
    }

    void startEntry(int index)
    {
        Entry &entry = m_entries[static_cast<std::size_t>(index)];
        ++entry.incarnation;
        entry.schedule = {};
        std::vector<KeeperId> ids;
        ids.reserve(m_keepers.size());
        for (int i = 0; i < m_scenario.keepers; ++i) {
            ids.emplace_back(std::to_string(i));
        }
        entry.schedule.setKeepers(ids);
    }

    void scheduleArrival(int index)
    {
        const std::chrono::duration<double> gap(
            std::exponential_distribution<double>(m_scenario.requestsPerEntry)(m_random));
        at(m_now + std::chrono::duration_cast<Duration>(gap), [this, index] {
            ask(index, 0ms);
            scheduleArrival(index);
        });
    }

    void scheduleRestarts(std::chrono::milliseconds interval, const std::function<void()> &restart)
    {
        if (interval.count() > 0) {
            at(m_now + interval, [this, interval, restart] {
                restart();
                scheduleRestarts(interval, restart);
            });
        }
    }

    void ask(int index, std::chrono::milliseconds wait)
    {
        Entry &entry = m_entries[static_cast<std::size_t>(index)];
        const auto keeper = entry.schedule.chooseKeeper({one}, m_now, wait);
        if (!keeper) {
            if (wait < m_scenario.maxWait) {
                ask(index, m_scenario.maxWait);
            }
            return;
        }
        const auto keeperIndex = static_cast<std::size_t>(std::stoi(keeper->value()));
        if (index < m_scenario.cutEntries && keeperIndex > 0) {
            entry.schedule.recordSilence(*keeper, m_now);
            return;
        }
        at(m_now + delay(), [this, index, wait, keeper, keeperIndex, incarnation = entry.incarnation] {
            const auto decision =
                m_keepers[keeperIndex]->decide({{limited(one, m_scenario.limit)}, wait}, m_keepers.size(), m_now);
            at(m_now + delay(), [this, index, wait, keeper, decision, incarnation] {
                Entry &asking = m_entries[static_cast<std::size_t>(index)];
                if (asking.incarnation != incarnation) {
                    return;
                }
                if (const auto *granted = std::get_if<PermitGranted>(&decision)) {
                    m_sends.push_back(m_now + granted->delay);
                    return;
                }
                asking.schedule.recordNext(one, *keeper, m_now + std::get<PermitDenied>(decision).delays.front());
                ask(index, wait);
            });
        });
    }

    const Scenario m_scenario;
    std::mt19937 m_random;
    Time m_now = start;
    std::priority_queue<Event> m_events;
    std::vector<std::optional<PermitKeeper>> m_keepers;
    std::vector<Entry> m_entries;
    std::deque<Time> m_sends;
};

/** Most requests in four seconds by the users' rule: one and a half times the limit, and five. */
double allowed(double limit)
{
    return 1.5 * limit * 4 + 5;
}

Scenario anyScenario()
{
    Scenario scenario;
    scenario.seed = *rc::gen::arbitrary<unsigned>();
    scenario.limit = *rc::gen::inRange(2, 200) / 10.0;
    scenario.entries = *rc::gen::element(1, 3, 10, 60, 300);
    scenario.keepers = *rc::gen::element(1, 3, 5);
    scenario.requestsPerEntry = *rc::gen::inRange(1, 40) * scenario.limit / scenario.entries;
    scenario.maxDelay = std::chrono::milliseconds(*rc::gen::element(1, 5, 50));
    scenario.maxWait = std::chrono::milliseconds(*rc::gen::element(0, 50, 200));
    return scenario;
}

dispatch::RegisteredRunner registration(const std::string &id, std::uint64_t startedAt = 1)
{
    dispatch::RegisteredRunner runner;
    runner.id = RunnerId(id);
    runner.service = chat;
    runner.address = {"127.0.0.1", 8000};
    runner.slots = 6;
    runner.startedAt = startedAt;
    runner.sequence = 1;
    return runner;
}

}

TEST_GROUP(Permits){};

// Guards against entries that together send more than a limit, each of them in the belief that the others do not.
TEST(Permits, noNumberOfEntriesExceedsTheLimit)
{
    CHECK(rc::check("requests in any four seconds stay within the limit", [] {
        const Scenario scenario = anyScenario();
        Simulation simulation(scenario);
        simulation.run(12s);
        RC_ASSERT(static_cast<double>(simulation.mostInFourSeconds()) <= allowed(scenario.limit));
    }));
}

// Guards against permits that a keeper, or an entry, that has started again grants or uses a second time.
TEST(Permits, restartsAndCutsDoNotExceedTheLimit)
{
    CHECK(rc::check("requests in any four seconds stay within the limit over restarts and cuts", [] {
        Scenario scenario = anyScenario();
        scenario.keeperRestartInterval = std::chrono::milliseconds(*rc::gen::element(100, 700, 3000));
        scenario.entryRestartInterval = std::chrono::milliseconds(*rc::gen::element(100, 700, 3000));
        scenario.cutEntries = *rc::gen::inRange(0, scenario.entries + 1);
        Simulation simulation(scenario);
        simulation.run(12s);
        RC_ASSERT(static_cast<double>(simulation.mostInFourSeconds()) <= allowed(scenario.limit));
    }));
}

// Guards against a runner that gets far less than it takes because the budget lies at entries that have no callers.
TEST(Permits, aLimitIsUsedWhicheverEntriesTheCallersComeTo)
{
    CHECK(rc::check("most of a limit is used", [] {
        Scenario scenario = anyScenario();
        scenario.limit = *rc::gen::inRange(10, 200) / 10.0;
        scenario.entries = *rc::gen::element(1, 3, 300);
        scenario.requestsPerEntry = 20 * scenario.limit / scenario.entries;
        scenario.maxDelay = 5ms;
        scenario.maxWait = 200ms;
        Simulation simulation(scenario);
        const auto sends = simulation.run(24s).size();
        RC_ASSERT(static_cast<double>(sends) > 0.7 * scenario.limit * 20);
    }));
}

TEST(Permits, permitsComeAtEqualIntervalsInTheOrderOfTheRequests)
{
    PermitKeeper keeper(start - 1s);
    // Nothing is known of what was granted before: the first permit is free after one interval.
    CHECK(std::holds_alternative<PermitDenied>(keeper.decide({{limited(one, 10)}, 0ms}, 1, start)));
    CHECK(isGranted(keeper.decide({{limited(one, 10)}, 100ms}, 1, start), one, 100ms));
    CHECK(isGranted(keeper.decide({{limited(one, 10)}, 200ms}, 1, start), one, 200ms));
    const auto denied = keeper.decide({{limited(one, 10)}, 200ms}, 1, start);
    CHECK(std::get<PermitDenied>(denied).delays.front() == 300ms);
    // What was not asked for is not saved up.
    CHECK(isGranted(keeper.decide({{limited(one, 10)}, 0ms}, 1, start + 5s), one));
    CHECK(std::holds_alternative<PermitDenied>(keeper.decide({{limited(one, 10)}, 0ms}, 1, start + 5s)));
}

// Guards against a keeper that starts again and grants what its earlier incarnation has granted ahead.
TEST(Permits, aKeeperThatStartsWaitsUntilEarlierPermitsAreUsed)
{
    PermitKeeper keeper(start);
    const auto denied = keeper.decide({{limited(one, 10)}, 200ms}, 1, start);
    CHECK(std::get<PermitDenied>(denied).delays.front() == dispatch::longestPermitWait + 100ms);
}

TEST(Permits, aLimitThatComesAgainBeginsWithoutPermits)
{
    PermitKeeper keeper(start - 1s);
    keeper.decide({{limited(one, 10)}, 0ms}, 1, start);
    keeper.decide({{{one, {1, std::nullopt, start + 1s, start + 1s}}}, 0ms}, 1, start + 1s);
    const auto denied = keeper.decide({{limited(one, 5, start + 2s)}, 0ms}, 1, start + 2s);
    CHECK(std::get<PermitDenied>(denied).delays.front() == 200ms);
}

// Guards against a limit that is exceeded while its value changes with each answer: permits granted ahead must still count.
TEST(Permits, aLimitThatChangesAllTheTimeIsNotExceeded)
{
    PermitKeeper keeper(start - 1s);
    std::vector<Time> sends;
    for (int i = 0; i < 8000; ++i) {
        const Time now = start + std::chrono::milliseconds(i);
        const double limit = i % 2 == 0 ? 5 : 5.5;
        const auto decision = keeper.decide({{limited(one, limit, now)}, 500ms}, 1, now);
        if (const auto *granted = std::get_if<PermitGranted>(&decision)) {
            sends.push_back(now + granted->delay);
        }
    }
    CHECK(std::is_sorted(sends.begin(), sends.end()));
    for (std::size_t first = 0; first < sends.size(); ++first) {
        const auto last = std::lower_bound(sends.begin(), sends.end(), sends[first] + 4s);
        CHECK(last - sends.begin() - static_cast<std::ptrdiff_t>(first) <= 4 * 5.5 + 1);
    }
}

// Guards against a turn store that ends when more runners have limits than it remembers.
TEST(Permits, moreRunnersThanAreRememberedInOneRequest)
{
    PermitKeeper keeper(start - 1s, 2);
    dispatch::PermitRequest request;
    for (int i = 0; i < 8; ++i) {
        request.runners.push_back(limited(RunnerId("r" + std::to_string(i)), 10, start - std::chrono::seconds(i)));
    }
    request.maxWait = 500ms;
    int granted = 0;
    for (int i = 0; i < 100; ++i) {
        granted += std::holds_alternative<PermitGranted>(keeper.decide(request, 1, start + i * 10ms)) ? 1 : 0;
    }
    // Of the two that are remembered, ten a second each, some ahead.
    CHECK(granted > 0 && granted <= 2 * (10 + 5 + 1));
    CHECK(keeper.statement(RunnerId("r7")) == nullptr);
}

TEST(Permits, theFirstRunnerWithAFreePermitIsTaken)
{
    PermitKeeper keeper(start - 1s);
    keeper.decide({{limited(one, 10), limited(two, 5)}, 0ms}, 1, start);
    CHECK(isGranted(keeper.decide({{limited(one, 10), limited(two, 5)}, 0ms}, 1, start + 1s), one));
    CHECK(isGranted(keeper.decide({{limited(one, 10), limited(two, 5)}, 0ms}, 1, start + 1s), two));
    CHECK(isGranted(keeper.decide({{limited(one, 10), limited(two, 5)}, 150ms}, 1, start + 1s), one, 100ms));
}

TEST(Permits, aKeeperWithoutAShareGrantsNothing)
{
    PermitKeeper keeper(start - 1s);
    keeper.decide({{limited(one, 10)}, 0ms}, 0, start);
    CHECK(std::holds_alternative<PermitDenied>(keeper.decide({{limited(one, 10)}, 200ms}, 0, start + 10s)));
}

// Guards against a runner with a limit of 0 that is never asked again and so can't say that it takes requests.
TEST(Permits, aRunnerWithALimitOfZeroIsAskedNowAndThen)
{
    PermitKeeper keeper(start - 1s);
    keeper.decide({{limited(one, 0)}, 0ms}, 1, start);
    CHECK(isGranted(keeper.decide({{limited(one, 0)}, 0ms}, 1, start + 4s), one));
    CHECK(std::holds_alternative<PermitDenied>(keeper.decide({{limited(one, 0)}, 0ms}, 1, start + 7s)));
}

TEST(Permits, aKeeperTellsThatALimitHasEndedOrChanged)
{
    PermitKeeper keeper(start - 1s);
    keeper.decide({{limited(one, 1)}, 0ms}, 1, start);
    // Another entry has heard later of a raise.
    keeper.decide({{limited(one, 100, start + 50ms)}, 0ms}, 1, start + 50ms);
    CHECK(isGranted(keeper.decide({{limited(one, 1)}, 0ms}, 1, start + 60ms), one));
    CHECK(*keeper.statement(one)->limit == RequestRate(100));
    keeper.decide({{{one, {1, std::nullopt, start + 70ms, start + 70ms}}}, 0ms}, 1, start + 70ms);
    for (int i = 0; i < 10; ++i) {
        CHECK(isGranted(keeper.decide({{limited(one, 1)}, 0ms}, 1, start + 80ms), one));
    }
}

TEST(Permits, aKeeperRemembersABoundedNumberOfRunners)
{
    PermitKeeper keeper(start - 1s, 10);
    for (int i = 0; i < 1000; ++i) {
        keeper.decide({{limited(RunnerId("r" + std::to_string(i)), 1, start + std::chrono::seconds(i))}, 0ms}, 1,
                      start + std::chrono::seconds(i));
    }
    int known = 0;
    for (int i = 0; i < 1000; ++i) {
        known += keeper.statement(RunnerId("r" + std::to_string(i))) != nullptr ? 1 : 0;
    }
    LONGS_EQUAL(10, known);
}

TEST(Permits, aKeeperThatIsSilentOrHasNoneIsNotAsked)
{
    const KeeperId a{"a"};
    const KeeperId b{"b"};
    dispatch::PermitSchedule<dispatch::RunnerId> schedule;
    CHECK_FALSE(schedule.chooseKeeper({one}, start, 0ms).has_value());
    CHECK(schedule.nextPermit(one, start) > start);
    schedule.setKeepers({a, b});
    schedule.recordSilence(a, start);
    for (int i = 0; i < 4; ++i) {
        CHECK(*schedule.chooseKeeper({one}, start, 0ms) == b);
    }
    schedule.recordNext(one, b, start + 300ms);
    CHECK_FALSE(schedule.chooseKeeper({one}, start, 200ms).has_value());
    CHECK(*schedule.chooseKeeper({one}, start, 300ms) == b);
    CHECK(*schedule.chooseKeeper({one, two}, start, 0ms) == b);
    CHECK(schedule.nextPermit(one, start) == start + 300ms);
    schedule.forget(one);
    CHECK(schedule.nextPermit(one, start) == start);
}

// Guards against refused callers that all come back at the next free permit and are refused once more, but for one.
TEST(Permits, refusedCallersAreToldToComeBackOneAfterTheOther)
{
    dispatch::ReturnSchedule<requests::ServiceName> returns;
    std::set<std::int64_t> delays;
    for (int i = 0; i < 5; ++i) {
        delays.insert(returns.next(chat, start + 100ms, RequestRate(10), 3s, start).count());
    }
    CHECK((delays == std::set<std::int64_t>{100, 200, 300, 400, 500}));
    // Who can't come back in time takes no place.
    CHECK(returns.next(chat, start + 100ms, RequestRate(10), 200ms, start) == 600ms);
    CHECK(returns.next(chat, start + 100ms, RequestRate(10), 3s, start) == 600ms);
    CHECK(returns.next(chat, start + 100ms, RequestRate(10), 3s, start + 10s) == 10ms);
}

TEST(Permits, programsUnderWayAndUrgentRoutesMayWaitLonger)
{
    using dispatch::ProgramStage;
    requests::Route urgent;
    urgent.latencyTarget = 200ms;
    requests::Route other = urgent;
    other.priority = 1;
    CHECK(dispatch::permitWait({std::nullopt, urgent.priority}, urgent.latencyTarget, ProgramStage::UnderWay, 4s)
          == 200ms);
    CHECK(dispatch::permitWait({std::nullopt, urgent.priority}, urgent.latencyTarget, ProgramStage::UnderWay, 400ms)
          == 100ms);
    CHECK(dispatch::permitWait({std::nullopt, urgent.priority}, urgent.latencyTarget, ProgramStage::UnderWay, -5ms)
          == 0ms);
    CHECK(dispatch::permitWait({std::nullopt, other.priority}, other.latencyTarget, ProgramStage::UnderWay, 4s)
          > dispatch::permitWait({std::nullopt, urgent.priority}, urgent.latencyTarget, ProgramStage::Begins, 4s));
    CHECK(dispatch::permitWait({std::nullopt, urgent.priority}, urgent.latencyTarget, ProgramStage::Begins, 4s)
          > dispatch::permitWait({std::nullopt, other.priority}, other.latencyTarget, ProgramStage::Begins, 4s));
}

// The load of a large fleet in which most runners of a service have limits: each of 60 entries hears of each of the others
// about once in two seconds, and they are full. Guards against runners with limits that stay idle meanwhile.
TEST(Permits, runnersWithLimitsAreUsedWhileTheOthersAreFullAndSeldomHeardOf)
{
    dispatch::LoadBalancer balancer{base::ZoneName("z")};
    for (int i = 0; i < 8; ++i) {
        balancer.registerRunner(registration("r" + std::to_string(i)));
    }
    balancer.permitSchedule().setKeepers({KeeperId("a")});
    const Time now = start + 1s;
    for (int i = 0; i < 3; ++i) {
        const RunnerId id("r" + std::to_string(i));
        balancer.rateStated(id, {1, RequestRate(7), start, start});
    }
    for (int i = 3; i < 7; ++i) {
        balancer.loadReported(RunnerId("r" + std::to_string(i)), {6, 12, 6}, now - 10ms);
    }
    // Nothing is known of the load of r7.
    dispatch::PlacementRequest request;
    request.service = chat;
    request.engine = requests::EngineTraits{};
    const auto placement = std::get<dispatch::Placement>(balancer.selectRunner(request, now));
    LONGS_EQUAL(3, placement.permitCandidates.size());
    // Where the others have room, work goes there first.
    for (int i = 3; i < 8; ++i) {
        balancer.loadReported(RunnerId("r" + std::to_string(i)), {0, 0, 6}, now);
    }
    CHECK(std::get<dispatch::Placement>(balancer.selectRunner(request, now)).permitCandidates.empty());
}

// Guards against programs that start because runners at their limits have free slots.
TEST(Permits, runnersAtTheirLimitsAreNoRoomForNewPrograms)
{
    dispatch::LoadBalancer balancer{base::ZoneName("z")};
    balancer.permitSchedule().setKeepers({KeeperId("a")});
    for (int i = 0; i < 9; ++i) {
        const RunnerId id("r" + std::to_string(i));
        balancer.registerRunner(registration(id.value()));
        balancer.loadReported(id, {i < 6 ? 0U : 6U, i < 6 ? 0U : 6U, 6}, start);
    }
    DOUBLES_EQUAL(2.0 / 3, *balancer.loadPerSlot(chat, start), 0.01);
    for (int i = 0; i < 6; ++i) {
        const RunnerId id("r" + std::to_string(i));
        balancer.rateStated(id, {1, RequestRate(7), start, start});
        balancer.permitSchedule().recordNext(id, KeeperId("a"), start + 100ms);
    }
    DOUBLES_EQUAL(2, *balancer.loadPerSlot(chat, start), 0.01);
    DOUBLES_EQUAL(2.0 / 3, *balancer.loadPerSlot(chat, start + 200ms), 0.01);
}

// Guards against a limit that an earlier incarnation named, in a late answer or heard of from another entry.
TEST(Permits, whatAnEarlierStartSaidDoesNotHoldForALaterOne)
{
    dispatch::LoadBalancer balancer{base::ZoneName("z")};
    balancer.registerRunner(registration("one", 5));
    CHECK_FALSE(balancer.rateStated(one, {4, RequestRate(7), start, start}));
    CHECK(balancer.rateStatement(one) == nullptr);
    CHECK(balancer.rateStated(one, {5, RequestRate(7), start, start}));
    // Another entry knows the next start already.
    CHECK(balancer.rateStated(one, {6, RequestRate(3), start, start}));
}

// Guards against a limit that is forgotten while the platform's store has lost the registration of a runner that lives.
TEST(Permits, aLimitHoldsOverARegistrationThatIsGoneForAWhile)
{
    dispatch::LoadBalancer balancer{base::ZoneName("z")};
    balancer.registerRunner(registration("one", 5));
    balancer.rateStated(one, {5, RequestRate(7), start, start});
    balancer.removeRunner(one);
    balancer.registerRunner(registration("one", 5));
    dispatch::PlacementRequest request;
    request.service = chat;
    request.permitWait = 1s;
    LONGS_EQUAL(1, std::get<dispatch::Placement>(balancer.selectRunner(request, start)).permitCandidates.size());
    balancer.removeRunner(one);
    balancer.registerRunner(registration("one", 6));
    CHECK(std::get<dispatch::Placement>(balancer.selectRunner(request, start)).permitCandidates.empty());
}

TEST(Permits, withoutAPermitNoRunnerWithALimitIsSelected)
{
    dispatch::LoadBalancer balancer{base::ZoneName("z")};
    balancer.registerRunner(registration("one"));
    balancer.rateStated(one, {1, RequestRate(7), start, start});
    balancer.permitSchedule().setKeepers({KeeperId("a")});
    balancer.permitSchedule().recordNext(one, KeeperId("a"), start + 100ms);
    dispatch::PlacementRequest request;
    request.service = chat;
    CHECK(*std::get<dispatch::NoCapacity>(balancer.selectRunner(request, start)).nextPermit == start + 100ms);
    request.permitWait = 100ms;
    CHECK(std::holds_alternative<dispatch::Placement>(balancer.selectRunner(request, start)));
    request.permitWait = -1ms;
    CHECK(std::holds_alternative<dispatch::NoCapacity>(balancer.selectRunner(request, start + 200ms)));
    // A later start has named no limit.
    balancer.registerRunner(registration("one", 2));
    CHECK(std::get<dispatch::Placement>(balancer.selectRunner(request, start)).permitCandidates.empty());
}

// Guards against an age that was lost on the way: a raise or an end that was said before the limit must not replace it.
TEST(Permits, statementsKeepTheirOrderOverTheWire)
{
    const Time sent = start + 200ms;
    const Time received = sent + 30ms;
    dispatch::RateLimits limits;
    limits.record(one, {1, RequestRate(7), start + 100ms, start + 180ms});
    const KnownRate early{one, {1, std::nullopt, start + 170ms, start + 190ms}};
    const KnownRate decoded = forwarding::fromMessage(forwarding::toMessage(early, sent), received);
    CHECK(decoded.runner == one);
    CHECK_FALSE(limits.record(one, decoded.statement));
    const KnownRate late{one, {1, std::nullopt, start + 500ms, start + 600ms}};
    CHECK(limits.record(one,
                        forwarding::fromMessage(forwarding::toMessage(late, start + 700ms), start + 710ms).statement));
    CHECK_FALSE(limits.limit(one).has_value());
}

// Guards against a keeper that a malformed request ends or makes grant without end.
TEST(Permits, requestsOfOddNumbersAreAnswered)
{
    forwarding::PermitServer server([] {
        return std::size_t{3};
    });
    wire::MessageUnion message;
    message.Set(wire::RequestPermitT{});
    CHECK(server.handleMessage(message)->AsPermitDecision()->granted.empty());
    wire::RequestPermitT request;
    request.max_wait_ms = 0xFFFFFFFF;
    for (const double limit : {-1.0, 0.0, 1e308, 1e-308}) {
        auto rate = std::make_unique<wire::RunnerRateT>();
        rate->runner = "r" + std::to_string(limit);
        rate->is_limited = true;
        rate->limit = limit;
        rate->earliest_age_ms = ~std::uint64_t{0};
        request.rates.push_back(std::move(rate));
    }
    message.Set(std::move(request));
    CHECK(server.handleMessage(message).has_value());
    message.Set(wire::DoneT{});
    CHECK_FALSE(server.handleMessage(message).has_value());
}
