#include "dispatch/loadbalancer.h"
#include "dispatch/programadmission.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <tuple>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace briarhinge;
using namespace briarhinge::dispatch;

namespace
{

constexpr int runnerCount = 12;
constexpr std::uint32_t slotsPerRunner = 6;
const requests::ServiceName chat("chat");

using Time = LoadBalancer::Time;
using Millis = std::chrono::milliseconds;

const Time begin = Time{} + std::chrono::hours(1);

/** How programs ended. */
struct Ends
{
    int inAim = 0;
    int late = 0;
    int failed = 0;
};

/**
 * Virtual time: programs of four turns of 200 ms, 100 ms apart, on runners that run later turns before first ones, as the
 * urgency of requests asks them to. A turn that has waited 3 s fails and ends its program. A refused program comes back twice.
 */
class BurstSimulation
{
public:
    /** @param isAdmitting whether new programs are refused as ProgramAdmission decides */
    explicit BurstSimulation(bool isAdmitting)
        : m_isAdmitting(isAdmitting)
        , m_runners(runnerCount)
    {
        for (int i = 0; i < runnerCount; ++i) {
            RegisteredRunner registration;
            registration.id = runnerId(i);
            registration.service = chat;
            registration.zone = base::ZoneName("a");
            registration.slots = slotsPerRunner;
            registration.startedAt = 1;
            m_balancer.registerRunner(registration);
        }
    }

    /**
     * @param perSecond programs that start each second
     * @param seconds how long they do
     */
    void addLoad(double perSecond, double seconds)
    {
        const int count = static_cast<int>(std::lround(perSecond * seconds));
        for (int i = 0; i < count; ++i) {
            const auto at = m_loadEnd + Millis(std::lround(i * 1000 / perSecond));
            m_programs.push_back({at});
            schedule(at, [this, program = m_programs.size() - 1] {
                startTurn(program);
            });
        }
        m_loadEnd += Millis(std::lround(seconds * 1000));
    }

    void run()
    {
        while (!m_events.empty()) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.action();
        }
    }

    /** @return how the programs ended that started between two times after the beginning */
    Ends ends(Millis from, Millis to) const
    {
        Ends result;
        for (const Program &program : m_programs) {
            if (program.startedAt < begin + from || program.startedAt >= begin + to) {
                continue;
            }
            if (!program.endedAt) {
                ++result.failed;
            } else {
                ++(*program.endedAt - program.startedAt <= aim ? result.inAim : result.late);
            }
        }
        return result;
    }

private:
    static constexpr int turnsPerProgram = 4;
    static constexpr Millis turnDuration{200};
    static constexpr Millis pause{100};
    static constexpr Millis maxWait{3000};
    static constexpr int maxReturns = 2;
    /** 1.4 times the time on idle runners, and 200 ms. */
    static constexpr Millis aim{1740};

    struct Program
    {
        Time startedAt;
        int turn = 0;
        int returns = 0;
        std::optional<Time> endedAt = std::nullopt;
    };

    struct Waiting
    {
        std::size_t program = 0;
        Time since;
    };

    struct Runner
    {
        std::uint32_t running = 0;
        /** Later turns first, then first ones. */
        std::map<bool, std::vector<Waiting>> waiting;
    };

    struct Event
    {
        Time at;
        std::uint64_t number;
        std::function<void()> action;

        bool operator<(const Event &other) const
        {
            return std::tie(other.at, other.number) < std::tie(at, number);
        }
    };

    static RunnerId runnerId(int index)
    {
        return RunnerId("r" + std::to_string(index + 10));
    }

    void schedule(Time at, std::function<void()> action)
    {
        m_events.push({at, ++m_lastEvent, std::move(action)});
    }

    void startTurn(std::size_t index)
    {
        Program &program = m_programs[index];
        const bool isFirst = program.turn == 0;
        requests::Route route;
        route.priority = 1;
        const auto refusal = m_isAdmitting && isFirst
            ? m_admission.refusal(route.priority, m_balancer.loadPerSlot(chat, m_now))
            : std::nullopt;
        if (refusal) {
            if (program.returns++ < maxReturns) {
                schedule(m_now + *refusal, [this, index] {
                    startTurn(index);
                });
            }
            return;
        }
        PlacementRequest request;
        request.service = chat;
        const auto selection = m_balancer.selectRunner(request, m_now);
        const RunnerId id = std::get<Placement>(selection).id;
        m_balancer.requestSent(id, request);
        const auto runner = static_cast<std::size_t>(std::stoi(id.value().substr(1)) - 10);
        m_runners[runner].waiting[isFirst].push_back({index, m_now});
        startNext(runner);
    }

    void startNext(std::size_t index)
    {
        Runner &runner = m_runners[index];
        for (auto &[isFirst, queue] : runner.waiting) {
            while (runner.running < slotsPerRunner && !queue.empty()) {
                const Waiting next = queue.front();
                queue.erase(queue.begin());
                if (m_now - next.since > maxWait) {
                    m_balancer.requestEnded(runnerId(static_cast<int>(index)));
                    continue;
                }
                ++runner.running;
                schedule(m_now + turnDuration, [this, index, program = next.program] {
                    endTurn(index, program);
                });
            }
        }
    }

    void endTurn(std::size_t index, std::size_t programIndex)
    {
        Runner &runner = m_runners[index];
        --runner.running;
        const RunnerId id = runnerId(static_cast<int>(index));
        m_balancer.requestEnded(id);
        const auto waiting = static_cast<std::uint32_t>(runner.waiting[false].size() + runner.waiting[true].size());
        m_balancer.loadReported(id, {runner.running, waiting, slotsPerRunner}, m_now);
        startNext(index);
        Program &program = m_programs[programIndex];
        if (++program.turn == turnsPerProgram) {
            program.endedAt = m_now;
            return;
        }
        schedule(m_now + pause, [this, programIndex] {
            startTurn(programIndex);
        });
    }

    const bool m_isAdmitting;
    LoadBalancer m_balancer{base::ZoneName("a")};
    const ProgramAdmission m_admission;
    std::vector<Runner> m_runners;
    std::vector<Program> m_programs;
    std::priority_queue<Event> m_events;
    std::uint64_t m_lastEvent = 0;
    Time m_now = begin;
    Time m_loadEnd = begin;
};

/** A burst of 2.6 times the usual load, from 3 to 9 s. */
std::unique_ptr<BurstSimulation> burst(bool isAdmitting)
{
    constexpr double usualPerSecond = 60;
    auto simulation = std::make_unique<BurstSimulation>(isAdmitting);
    simulation->addLoad(usualPerSecond, 3);
    simulation->addLoad(usualPerSecond * 2.6, 6);
    simulation->addLoad(usualPerSecond, 8);
    simulation->run();
    return simulation;
}

}

TEST_GROUP(ProgramAdmission){};

// The pattern: many users come at once and runners run later turns first, so new programs wait until they fail.
TEST(ProgramAdmission, inABurstMoreProgramsEndInTheirAimAndFewerFailLate)
{
    const auto all = burst(false);
    const auto admitted = burst(true);
    const Ends allEnds = all->ends(Millis(3000), Millis(9000));
    const Ends admittedEnds = admitted->ends(Millis(3000), Millis(9000));
    CHECK(admittedEnds.inAim > allEnds.inAim * 5 / 4);
    CHECK(admittedEnds.inAim + admittedEnds.late >= allEnds.inAim);
}

TEST(ProgramAdmission, twoSecondsAfterABurstAllProgramsEndInTheirAim)
{
    const Ends ends = burst(true)->ends(Millis(11'000), Millis(17'000));
    LONGS_EQUAL(0, ends.failed);
    LONGS_EQUAL(0, ends.late);
}

TEST(ProgramAdmission, theUsualLoadIsAdmittedWhole)
{
    const auto simulation = burst(true);
    const Ends ends = simulation->ends(Millis(0), Millis(2500));
    LONGS_EQUAL(0, ends.failed);
    LONGS_EQUAL(150, ends.inAim);
}

TEST(ProgramAdmission, urgentProgramsAreRefusedLast)
{
    const ProgramAdmission admission;
    requests::Route urgent;
    urgent.priority = 0;
    requests::Route other;
    other.priority = 1;
    CHECK_FALSE(admission.refusal(other.priority, 1.25).has_value());
    CHECK(admission.refusal(other.priority, 1.3).has_value());
    CHECK_FALSE(admission.refusal(urgent.priority, 1.5).has_value());
    CHECK(admission.refusal(urgent.priority, 1.6).has_value());
}

// Guards against programs that are refused because of what one or two runners reported.
TEST(ProgramAdmission, anUnknownLoadRefusesNobody)
{
    CHECK_FALSE(ProgramAdmission().refusal(0, std::nullopt).has_value());
    LoadBalancer balancer{base::ZoneName("a")};
    for (int i = 0; i < 8; ++i) {
        RegisteredRunner registration;
        registration.id = RunnerId("r" + std::to_string(i));
        registration.service = chat;
        registration.slots = slotsPerRunner;
        balancer.registerRunner(registration);
    }
    for (int i = 0; i < 4; ++i) {
        balancer.loadReported(RunnerId("r" + std::to_string(i)), {slotsPerRunner, 30, slotsPerRunner}, begin);
    }
    CHECK_FALSE(balancer.loadPerSlot(chat, begin).has_value());
    balancer.loadReported(RunnerId("r4"), {slotsPerRunner, 0, slotsPerRunner}, begin);
    DOUBLES_EQUAL(5.0, balancer.loadPerSlot(chat, begin).value(), 0.001);
    // Old reports say nothing of the load now.
    CHECK_FALSE(balancer.loadPerSlot(chat, begin + std::chrono::seconds(1)).has_value());
}

namespace
{

/** Programs of one group of accounts that began and that were refused. */
struct Starts
{
    int begun = 0;
    int refused = 0;
};

/**
 * Programs that occupy one of 344 slots for 1.5 s each, for 20 s of virtual time: of 75 accounts that send what they usually
 * do, and of one that sends many times that, up to its cap of 1.6 times its usual.
 *
 * @param othersPerSecond programs of the 75 accounts; 120 a second are what they usually send
 * @param loudPerSecond programs of the loud account; 30 a second are what it usually sends
 */
std::pair<Starts, Starts> playAccounts(double othersPerSecond, double loudPerSecond)
{
    constexpr double slots = 344;
    constexpr int duration = 1500;
    constexpr int usageSpan = 5000;
    constexpr double usualOthers = 120;
    constexpr double usualLoud = 30;
    constexpr double capOverUsual = 1.6;
    const ProgramAdmission admission;
    std::queue<int> ends;
    std::queue<std::pair<int, bool>> recent;
    double othersUsed = 0;
    double loudUsed = 0;
    double othersDue = 0;
    double loudDue = 0;
    Starts others;
    Starts loud;
    for (int now = 0; now < 20'000; ++now) {
        while (!ends.empty() && ends.front() <= now) {
            ends.pop();
        }
        while (!recent.empty() && recent.front().first + usageSpan <= now) {
            (recent.front().second ? loudUsed : othersUsed) -= 1;
            recent.pop();
        }
        const double mean = (othersUsed + loudUsed) / (usualOthers + usualLoud);
        const auto ask = [&](bool isLoud) {
            const double use = isLoud ? loudUsed / usualLoud : othersUsed / usualOthers;
            const auto refusal =
                admission.refusal(0, static_cast<double>(ends.size()) / slots, mean > 0 ? use / mean : 1);
            Starts &starts = isLoud ? loud : others;
            if (refusal) {
                ++starts.refused;
                return;
            }
            ++starts.begun;
            ends.push(now + duration);
            recent.emplace(now, isLoud);
            (isLoud ? loudUsed : othersUsed) += 1;
        };
        for (othersDue += othersPerSecond / 1000; othersDue >= 1; othersDue -= 1) {
            ask(false);
        }
        for (loudDue += std::min(loudPerSecond, usualLoud * capOverUsual) / 1000; loudDue >= 1; loudDue -= 1) {
            ask(true);
        }
    }
    return {others, loud};
}

}

TEST(ProgramAdmission, anAccountManyTimesItsUsualCostsTheOthersNothing)
{
    // All ask for more than there is: 0.75 of 344 slots hold 172 programs a second, of which four fifths are the others' fair
    // part by their caps. They get it within 5%, and so does the loud account.
    const auto [others, loud] = playAccounts(200, 240);
    const double fair = 0.75 * 344 / 1.5 * 20;
    CHECK(others.begun >= fair * 0.8 * 0.95);
    CHECK(loud.begun >= fair * 0.2 * 0.95);
    // Where the others' usual programs leave room for what it may send, nobody is refused.
    LONGS_EQUAL(0, playAccounts(120, 240).first.refused);
}

TEST(ProgramAdmission, roomThatOthersLeaveGoesToWhoeverAsks)
{
    const auto [others, loud] = playAccounts(12, 240);
    LONGS_EQUAL(0, others.refused);
    LONGS_EQUAL(0, loud.refused);
}

TEST(ProgramAdmission, noAccountIsWithoutProgressWhileAllAskForMoreThanThereIs)
{
    const auto [others, loud] = playAccounts(400, 240);
    // 0.75 of 344 slots hold some 170 programs a second; the loud account's fair part is a fifth of them.
    CHECK(loud.begun >= 170 * 20 / 5 / 2);
    CHECK(others.begun >= 170 * 20 / 2);
}
