#include "runner/callqueue.h"

#include <set>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace briarhinge;
using namespace briarhinge::runner;

namespace
{

const base::Timestamp start{base::Milliseconds(10'000)};

struct Waiting
{
    QueueRank rank;
    base::Timestamp since;
};

QueueRank rank(std::int32_t priority, std::uint64_t attainedTokens, bool subProgram = false,
               std::uint64_t cachedTokens = 0)
{
    return {priority, subProgram, base::Tokens(attainedTokens), base::Tokens(cachedTokens)};
}

QueueRank anyRank()
{
    return rank(*rc::gen::inRange(0, 3), *rc::gen::inRange<std::uint64_t>(0, 10'000), *rc::gen::arbitrary<bool>(),
                *rc::gen::inRange<std::uint64_t>(0, 1000));
}

}

TEST_GROUP(CallQueue)
{
    CallQueue<int> queue;
};

TEST(CallQueue, priorityThenSubProgramsThenLeastService)
{
    queue.push(rank(0, 5), 4, start);
    queue.push(rank(1, 900), 3, start);
    queue.push(rank(1, 100), 2, start);
    queue.push(rank(1, 5000, true), 1, start);
    for (int expected = 1; expected <= 4; ++expected) {
        CHECK_EQUAL(expected, *queue.pop(start));
    }
    CHECK(!queue.pop(start));
}

TEST(CallQueue, cachedPrefixRunsSlightlyEarlier)
{
    queue.push(rank(0, 100), 2, start);
    queue.push(rank(0, 200, false, 1000), 1, start);
    queue.push(rank(0, 100'000, false, 1000), 3, start);
    CHECK_EQUAL(1, *queue.pop(start));
    CHECK_EQUAL(2, *queue.pop(start));
    CHECK_EQUAL(3, *queue.pop(start));
}

TEST(CallQueue, waitingOffsetsAttainedService)
{
    queue.push(rank(0, 1000), 1, start);
    queue.push(rank(0, 10), 2, start + base::Milliseconds(1000));
    CHECK_EQUAL(1, *queue.pop(start + base::Milliseconds(1000)));
}

TEST(CallQueue, lastOfTheQueueHasTheLowestPriority)
{
    queue.push(rank(0, 1), 1, start);
    queue.push(rank(2, 1), 2, start);
    queue.push(rank(0, 500), 3, start);
    CHECK_EQUAL(3, *queue.popLast());
    CHECK_EQUAL(1, *queue.popLast());
    CHECK_EQUAL(2, *queue.popLast());
}

TEST(CallQueue, neverTakesALowerPriorityUnlessItIsOverdue)
{
    const bool held = rc::check("priority goes first", [] {
        CallQueue<Waiting> tested;
        base::Timestamp now = start;
        const int steps = 100;
        std::multiset<std::int32_t> priorities;
        for (int step = 0; step < steps; ++step) {
            now += base::Milliseconds(*rc::gen::inRange(0, 2000));
            if (*rc::gen::inRange(0, 3) > 0) {
                const QueueRank pushed = anyRank();
                priorities.insert(pushed.priority);
                tested.push(pushed, {pushed, now}, now);
            } else if (const auto taken = tested.pop(now)) {
                const bool overdue = taken->since + QueueWeights{}.overdueAfter < now;
                RC_ASSERT(overdue || taken->rank.priority == *priorities.rbegin());
                priorities.erase(priorities.find(taken->rank.priority));
            }
            RC_ASSERT(tested.size() == priorities.size());
        }
    });
    CHECK(held);
}

TEST(CallQueue, nothingStarvesUnderASteadyStreamOfHigherPriority)
{
    const bool held = rc::check("a low call starts", [] {
        CallQueue<int> tested;
        base::Timestamp now = start;
        const int olderCalls = *rc::gen::inRange(0, 5);
        for (int i = 0; i <= olderCalls; ++i) {
            tested.push(rank(0, 1'000'000), i, now);
        }
        const QueueWeights weights;
        const auto step = base::Milliseconds(*rc::gen::inRange(1, 500));
        const auto stepsUntilOverdue = static_cast<std::uint32_t>(weights.overdueAfter / step) + 2;
        const auto maxSteps =
            stepsUntilOverdue + weights.popsPerOverdueCall * static_cast<std::uint32_t>(olderCalls + 1);
        bool started = false;
        for (std::uint32_t i = 0; i < maxSteps && !started; ++i) {
            now += step;
            tested.push(anyRank(), -1, now);
            tested.push(rank(9, 0), -1, now);
            started = *tested.pop(now) == olderCalls;
        }
        RC_ASSERT(started);
    });
    CHECK(held);
}
