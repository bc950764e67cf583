#include "membership/vmlistfollower.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace briarhinge;

TEST_GROUP(VmListFollower){};

TEST(VmListFollower, ShortListIsReadAtTheGivenInterval)
{
    constexpr std::size_t bytesOfTwentyVms = 2200;
    CHECK(base::Milliseconds(1000) == membership::readingInterval(base::Milliseconds(1000), bytesOfTwentyVms));
}

TEST(VmListFollower, ListOfTheDesignSizeStaysWithinItsShareOfControl)
{
    constexpr std::size_t bytesOfDesignSize = 128'000;
    constexpr std::size_t msPerSecond = 1000;
    constexpr std::size_t controlBytesPerSecond = 14'000;
    const base::Milliseconds interval = membership::readingInterval(base::Milliseconds(1000), bytesOfDesignSize);
    CHECK(bytesOfDesignSize * msPerSecond / interval.count() < controlBytesPerSecond / 2);
}
