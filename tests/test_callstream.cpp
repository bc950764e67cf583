#include "service/callstream.h"

#include <string>
#include <vector>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace briarhinge;
using service::CallStream;

namespace
{

/** Chunks and replies that one waiter has received. */
struct Received
{
    std::string text;
    std::uint64_t begin = 0;
    std::size_t chunks = 0;
    std::size_t replies = 0;
    bool contiguous = true;
    api::ClientReply last;
};

api::ClientSink sinkFor(Received &received)
{
    api::ClientSink sink;
    sink.chunk = [&received](std::uint64_t offset, const std::string &text) {
        if (received.chunks++ == 0) {
            received.begin = offset;
        }
        received.contiguous = received.contiguous && offset == received.begin + received.text.size();
        received.text += text;
    };
    sink.reply = [&received](const api::ClientReply &reply) {
        ++received.replies;
        received.last = reply;
    };
    return sink;
}

/** Position of a chunk within an answer. */
struct ChunkRange
{
    std::size_t offset = 0;
    std::size_t length = 0;
};

rc::Gen<std::string> anyAnswer()
{
    const auto character = rc::gen::element<std::string>("a", "b", " ", "ø", "å", "€", "🚪");
    return rc::gen::map(rc::gen::container<std::vector<std::string>>(character), [](const auto &characters) {
        std::string answer;
        for (const std::string &each : characters) {
            answer += each;
        }
        return answer;
    });
}

bool beginsCharacter(const std::string &text, std::size_t offset)
{
    return offset >= text.size() || (static_cast<unsigned char>(text[offset]) & 0xC0U) != 0x80U;
}

}

TEST_GROUP(CallStream)
{
    base::InvariantMonitor invariants{[](const std::string &violation) {
        FAIL(violation.c_str());
    }};
};

TEST(CallStream, DuplicatedReorderedAndOverlappingPiecesArriveOnceAndInOrder)
{
    CHECK(rc::check("bytes of an answer are contiguous", [] {
        base::InvariantMonitor failingMonitor([](const std::string &violation) {
            RC_FAIL(violation);
        });
        const std::string answer = *anyAnswer();
        CallStream stream(failingMonitor);
        std::vector<Received> received(3);
        std::vector<std::size_t> offsets;
        const auto ranges = *rc::gen::container<std::vector<ChunkRange>>(rc::gen::build<ChunkRange>(
            rc::gen::set(&ChunkRange::offset, rc::gen::inRange<std::size_t>(0, answer.size() + 1)),
            rc::gen::set(&ChunkRange::length, rc::gen::inRange<std::size_t>(0, 9))));
        for (std::size_t i = 0; i < received.size(); ++i) {
            offsets.push_back(*rc::gen::inRange<std::size_t>(0, answer.size() + 1));
        }
        stream.join(sinkFor(received[0]), offsets[0]);
        for (std::size_t i = 0; i < ranges.size(); ++i) {
            stream.append(ranges[i].offset, answer.substr(ranges[i].offset, ranges[i].length));
            if (i == ranges.size() / 2) {
                stream.join(sinkFor(received[1]), offsets[1]);
            }
        }
        stream.join(sinkFor(received[2]), offsets[2]);
        RC_ASSERT(answer.starts_with(stream.text()));
        stream.finish({200, answer, std::nullopt});
        for (std::size_t i = 0; i < received.size(); ++i) {
            const Received &waiter = received[i];
            const bool joined = i != 1 || !ranges.empty();
            RC_ASSERT(waiter.replies == (joined ? 1U : 0U));
            RC_ASSERT(waiter.contiguous);
            RC_ASSERT(waiter.begin <= offsets[i]);
            RC_ASSERT(waiter.chunks == 0U || offsets[i] - waiter.begin < 4U);
            RC_ASSERT(answer.compare(waiter.begin, waiter.text.size(), waiter.text) == 0);
            RC_ASSERT(beginsCharacter(answer, waiter.begin));
            RC_ASSERT(beginsCharacter(answer, waiter.begin + waiter.text.size()));
        }
    }));
}

TEST(CallStream, PieceThatEndsWithinACharacterWaitsForItsRest)
{
    CallStream stream(invariants);
    Received received;
    stream.join(sinkFor(received), 0);
    stream.append(0, "d\xC3");
    STRCMP_EQUAL("d", received.text.c_str());
    stream.append(2, "\xB8r");
    STRCMP_EQUAL("dør", received.text.c_str());
}

TEST(CallStream, WaiterThatComesAfterTheEndGetsTheReply)
{
    CallStream stream(invariants);
    stream.finish({200, "done", std::nullopt});
    Received received;
    stream.join(sinkFor(received), 3);
    LONGS_EQUAL(1, received.replies);
    STRCMP_EQUAL("done", received.last.body.c_str());
}

TEST(CallStream, PiecesThatContradictEachOtherAreAViolation)
{
    std::vector<std::string> violations;
    base::InvariantMonitor recordingMonitor([&](const std::string &violation) {
        violations.push_back(violation);
    });
    CallStream stream(recordingMonitor);
    stream.append(0, "yes");
    stream.append(0, "no, never");
    LONGS_EQUAL(1, violations.size());
    LONGS_EQUAL(1, recordingMonitor.violationCount());
    STRCMP_EQUAL("yes", stream.text().c_str());
}
