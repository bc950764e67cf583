#include "dispatch/overloaddetector.h"
#include "dispatch/retrydelay.h"

#include <CppUTest/TestHarness.h>

using namespace briarhinge;
using namespace briarhinge::dispatch;

namespace
{

const RetryDelay::Time start = RetryDelay::Time{} + std::chrono::hours(1);
constexpr base::Milliseconds interval{50};

}

TEST_GROUP(RetryDelay){};

TEST(RetryDelay, theDelayGrowsWithTheFaultAndStartsAnewAfterIt)
{
    RetryDelay delay;
    LONGS_EQUAL(250, delay.recordFailure(start).count());
    LONGS_EQUAL(600, delay.recordFailure(start + base::Milliseconds(600)).count());
    LONGS_EQUAL(1000, delay.recordFailure(start + std::chrono::minutes(5)).count());
    delay.recordSuccess();
    LONGS_EQUAL(250, delay.recordFailure(start + std::chrono::minutes(6)).count());
}

TEST_GROUP(OverloadDetector)
{
    OverloadDetector detector;

    /** Simulates one second of timers that are all late by the same time. */
    void simulateOneSecond(base::Milliseconds delay, OverloadDetector::Time from)
    {
        for (int i = 0; i < 20; ++i) {
            detector.recordTimerDelay(delay, from + i * interval);
        }
    }
};

TEST(OverloadDetector, aHealthyEntryUnderLoadIsNotOverloaded)
{
    simulateOneSecond(base::Milliseconds(1), start);
    CHECK_FALSE(detector.isOverloaded(start + std::chrono::seconds(1)));
}

TEST(OverloadDetector, oneLongPauseIsNoOverload)
{
    simulateOneSecond(base::Milliseconds(0), start);
    detector.recordTimerDelay(base::Milliseconds(35), start);
    CHECK_FALSE(detector.isOverloaded(start));
}

TEST(OverloadDetector, anEntryThatHasLostMostOfItsCpuIsOverloaded)
{
    // On an entry slowed down 8 times, timers were 11 to 52 ms late.
    simulateOneSecond(base::Milliseconds(20), start);
    CHECK(detector.isOverloaded(start + std::chrono::seconds(1)));
    CHECK(detector.isOverloaded(start + std::chrono::seconds(3)));
    simulateOneSecond(base::Milliseconds(0), start + std::chrono::seconds(1));
    CHECK_FALSE(detector.isOverloaded(start + std::chrono::seconds(5)));
}
