#include "logging/boundedwriter.h"

#include <array>
#include <chrono>
#include <string>

#include <fcntl.h>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace briarhinge::logging;

TEST_GROUP(BoundedWriter)
{
    std::array<int, 2> ends{};

    void setup() override
    {
        LONGS_EQUAL(0, ::pipe(ends.data()));
    }

    void teardown() override
    {
        ::close(ends[0]);
        ::close(ends[1]);
    }

    std::size_t drain()
    {
        std::array<char, 65536> buffer{};
        ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
        std::size_t total = 0;
        for (ssize_t size = 1; size > 0;) {
            size = ::read(ends[0], buffer.data(), buffer.size());
            total += size > 0 ? static_cast<std::size_t>(size) : 0;
        }
        return total;
    }
};

TEST(BoundedWriter, aStalledReaderDoesNotBlockAndEveryDroppedLineIsCounted)
{
    BoundedWriter writer(ends[1], FlushPolicy::Buffered);
    const std::string line(199, 'x');
    constexpr std::uint64_t lines = 20'000;
    std::uint64_t accepted = 0;
    const auto start = std::chrono::steady_clock::now();
    for (std::uint64_t i = 0; i < lines; ++i) {
        accepted += writer.add(line + '\n') ? 1 : 0;
    }
    CHECK(std::chrono::steady_clock::now() - start < std::chrono::seconds(2));
    CHECK(accepted < lines);
    const std::uint64_t dropped = writer.takeDropped();
    LONGS_EQUAL(lines, accepted + dropped);
    std::size_t read = drain();
    for (std::size_t more = 1; more > 0;) {
        writer.flush();
        more = drain();
        read += more;
    }
    LONGS_EQUAL(accepted * (line.size() + 1), read);
}

TEST(BoundedWriter, bufferedLinesAreWrittenOnFlush)
{
    BoundedWriter writer(ends[1], FlushPolicy::Buffered);
    writer.add("one\n");
    LONGS_EQUAL(0, drain());
    writer.flush();
    LONGS_EQUAL(4, drain());
}
