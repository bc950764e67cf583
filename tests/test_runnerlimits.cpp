#include "runner/concurrencylimit.h"
#include "runner/crashregister.h"
#include "runner/drainrate.h"
#include "runner/holdtable.h"

#include <algorithm>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace briarhinge;
using namespace briarhinge::runner;

namespace
{

const base::Timestamp start{base::Milliseconds(10'000)};
constexpr base::Milliseconds second{1000};
constexpr base::Milliseconds retention{60'000};
constexpr base::Milliseconds breakEven{20'000};

/** @return time between two tokens of an engine that slows down in proportion to the number of concurrent calls */
base::Milliseconds gapAt(std::size_t calls, std::size_t callsAtTarget)
{
    return base::Milliseconds(static_cast<std::int64_t>(40 * calls / callsAtTarget));
}

}

TEST_GROUP(ConcurrencyLimit){};

TEST(ConcurrencyLimit, convergesToTheTarget)
{
    const bool held = rc::check("limit near the engine's capacity", [] {
        const auto capacity = *rc::gen::inRange<std::size_t>(4, 30);
        ConcurrencyLimit limit({32, base::Milliseconds(40), 50});
        base::Timestamp now = start;
        for (int token = 0; token < 20'000; ++token) {
            now += base::Milliseconds(1);
            limit.recordTokenGap(gapAt(limit.limit(), capacity), true, now);
            RC_ASSERT(limit.limit() >= 1U);
            RC_ASSERT(limit.limit() <= 32U);
        }
        RC_ASSERT(limit.limit() <= capacity + 1);
        RC_ASSERT(limit.limit() + 3 >= std::min<std::size_t>(32, capacity) * 8 / 10);
    });
    CHECK(held);
}

TEST(ConcurrencyLimit, neverLeavesItsBounds)
{
    const bool held = rc::check("bounds", [] {
        ConcurrencyLimit limit({8, base::Milliseconds(40), 5});
        base::Timestamp now = start;
        for (int token = 0; token < 500; ++token) {
            now += base::Milliseconds(*rc::gen::inRange(0, 100));
            limit.recordTokenGap(base::Milliseconds(*rc::gen::inRange(0, 100)), *rc::gen::arbitrary<bool>(), now);
            RC_ASSERT(limit.limit() >= 1U && limit.limit() <= 8U);
        }
    });
    CHECK(held);
}

TEST_GROUP(DrainRate){};

TEST(DrainRate, waitFollowsTheMeasuredTimeOfCalls)
{
    DrainRate rate;
    CHECK(rate.expectedWait(10, 2) == base::Milliseconds(0));
    rate.recordCallDuration(base::Milliseconds(200));
    CHECK(rate.expectedWait(10, 2) == base::Milliseconds(1000));
    CHECK(rate.expectedWait(0, 2) == base::Milliseconds(0));
}

TEST_GROUP(CrashRegister)
{
    CrashRegister crashes{retention};
};

TEST(CrashRegister, secondCrashAloneQuarantines)
{
    CHECK(!crashes.recordCrash("a", false, start));
    CHECK(crashes.isSuspect("a"));
    CHECK(!crashes.isQuarantined("a"));
    CHECK(crashes.recordCrash("a", true, start));
    CHECK(crashes.isQuarantined("a"));
    crashes.recordSurvival("a");
    CHECK(crashes.isQuarantined("a"));
}

TEST(CrashRegister, suspectIsClearedWhenTheUpstreamSurvivesIt)
{
    crashes.recordCrash("b", false, start);
    crashes.recordSurvival("b");
    CHECK(!crashes.isSuspect("b"));
}

TEST(CrashRegister, quarantineFromElsewhereHoldsUntilItIsTooOld)
{
    crashes.quarantine("c", start);
    CHECK(crashes.isQuarantined("c"));
    crashes.expire(start + 2 * retention);
    CHECK(!crashes.isQuarantined("c"));
}

TEST_GROUP(HoldTable)
{
    const base::ProgramId program{"order-1"};
    const int owner = 0;
    HoldTable holds{HoldTimes{}};
};

TEST(HoldTable, holdIsAShortLeaseThatIsRenewed)
{
    CHECK(holds.turnEnded(program, &owner, breakEven, start) == HoldTimes{}.lease);
    CHECK(holds.takeDue(start).renew.empty());
    CHECK_EQUAL(1U, holds.takeDue(start + HoldTimes{}.renewInterval).renew.size());
    CHECK(holds.takeDue(start + HoldTimes{}.renewInterval).renew.empty());
}

TEST(HoldTable, absentProgramIsReleasedAtTheBreakEven)
{
    holds.turnEnded(program, &owner, breakEven, start);
    CHECK(holds.takeDue(start + breakEven - second).release.empty());
    CHECK_EQUAL(1U, holds.takeDue(start + breakEven).release.size());
    CHECK_EQUAL(0U, holds.size());
}

TEST(HoldTable, prefixIsNotHeldForLongExpectedPauses)
{
    holds.turnEnded(program, &owner, breakEven, start);
    holds.turnStarted(program, start + breakEven + second);
    CHECK(!holds.turnEnded(program, &owner, breakEven, start + breakEven + second));
}

TEST(HoldTable, endOfProgramAndOfOwnerStopTheRenewal)
{
    const base::ProgramId other{"order-2"};
    const int otherOwner = 0;
    holds.turnEnded(program, &owner, breakEven, start);
    holds.turnEnded(other, &otherOwner, breakEven, start);
    holds.programEnded(program, start);
    CHECK_EQUAL(1U, holds.size());
    holds.removeOwner(&otherOwner);
    CHECK_EQUAL(0U, holds.size());
}

TEST(HoldTable, prefixIsNotHeldForATurnThatEndsAfterItsProgram)
{
    holds.turnStarted(program, start);
    holds.programEnded(program, start);
    CHECK(!holds.turnEnded(program, &owner, breakEven, start));
}
