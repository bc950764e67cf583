#include "dispatch/overloadgauge.h"
#include "dispatch/retryadvice.h"

#include <CppUTest/TestHarness.h>

using namespace briarhinge;
using namespace briarhinge::dispatch;

namespace
{

const RetryAdvice::Time start = RetryAdvice::Time{} + std::chrono::hours(1);
constexpr base::Milliseconds interval{50};

}

TEST_GROUP(RetryAdvice){};

TEST(RetryAdvice, theTimeToComeBackGrowsWithTheFaultAndStartsAnewAfterIt)
{
    RetryAdvice advice;
    LONGS_EQUAL(250, advice.failed(start).count());
    LONGS_EQUAL(600, advice.failed(start + base::Milliseconds(600)).count());
    LONGS_EQUAL(1000, advice.failed(start + std::chrono::minutes(5)).count());
    advice.worked();
    LONGS_EQUAL(250, advice.failed(start + std::chrono::minutes(6)).count());
}

TEST_GROUP(OverloadGauge)
{
    OverloadGauge gauge;

    /** Simulates one second of timers that are all late by the same time. */
    void second(base::Milliseconds late, OverloadGauge::Time from)
    {
        for (int i = 0; i < 20; ++i) {
            gauge.fired(late, from + i * interval);
        }
    }
};

TEST(OverloadGauge, aSoundEntryUnderLoadIsNotOverloaded)
{
    second(base::Milliseconds(1), start);
    CHECK_FALSE(gauge.isOverloaded(start + std::chrono::seconds(1)));
}

TEST(OverloadGauge, oneLongPauseIsNoOverload)
{
    second(base::Milliseconds(0), start);
    gauge.fired(base::Milliseconds(35), start);
    CHECK_FALSE(gauge.isOverloaded(start));
}

TEST(OverloadGauge, anEntryThatHasLostMostOfItsProcessorIs)
{
    // On an entry slowed down 8 times, timers were 11 to 52 ms late.
    second(base::Milliseconds(20), start);
    CHECK(gauge.isOverloaded(start + std::chrono::seconds(1)));
    CHECK(gauge.isOverloaded(start + std::chrono::seconds(3)));
    second(base::Milliseconds(0), start + std::chrono::seconds(1));
    CHECK_FALSE(gauge.isOverloaded(start + std::chrono::seconds(5)));
}
