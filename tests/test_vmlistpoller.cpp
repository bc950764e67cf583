#include "membership/vmlistpoller.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace briarhinge;

TEST_GROUP(VmListPoller){};

TEST(VmListPoller, ShortListIsReadAtTheGivenInterval)
{
    constexpr std::size_t bytesOfTwentyVms = 2200;
    CHECK(base::Milliseconds(1000) == membership::pollInterval(base::Milliseconds(1000), bytesOfTwentyVms));
}

TEST(VmListPoller, ListOfTheDesignSizeStaysWithinItsShareOfControl)
{
    constexpr std::size_t bytesOfDesignSize = 128'000;
    constexpr std::size_t msPerSecond = 1000;
    constexpr std::size_t controlBytesPerSecond = 14'000;
    const base::Milliseconds interval = membership::pollInterval(base::Milliseconds(1000), bytesOfDesignSize);
    CHECK(bytesOfDesignSize * msPerSecond / interval.count() < controlBytesPerSecond / 2);
}
