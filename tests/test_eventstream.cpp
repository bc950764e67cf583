#include "forwarding/eventstream.h"

#include <string>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using briarhinge::forwarding::EventStream;

TEST_GROUP(EventStream)
{
    EventStream stream;
};

TEST(EventStream, wholeEventsPassAsTheyCame)
{
    STRCMP_EQUAL("id: 1\ndata: one\n\n", stream.append("id: 1\ndata: one\n\nid: 2\nda").c_str());
    STRCMP_EQUAL("id: 2\nda", stream.remainder().c_str());
    STRCMP_EQUAL("id: 2\ndata: two\n\n", stream.append("ta: two\n\n").c_str());
    STRCMP_EQUAL("one\ntwo\n", stream.data().c_str());
    LONGS_EQUAL(2, stream.eventCount());
}

TEST(EventStream, severalDataLinesAreOneEvent)
{
    stream.append("x-weight-versions: 3\ndata:a\r\ndata: b\r\n\r\n");
    STRCMP_EQUAL("a\nb\n", stream.data().c_str());
    LONGS_EQUAL(1, stream.eventCount());
}

TEST(EventStream, commentsAreNoEvents)
{
    stream.append(": ping\n\n");
    LONGS_EQUAL(0, stream.eventCount());
}

TEST(EventStream, theCutsBetweenPiecesMakeNoDifference)
{
    CHECK(rc::check("pieces", [] {
        const auto lines = *rc::gen::container<std::vector<std::string>>(
            rc::gen::element<std::string>("data: x", "id: 4", "", "data:", "\r", ": c", "data: y z"));
        std::string text;
        for (const std::string &line : lines) {
            text += line + "\n";
        }
        EventStream whole;
        const std::string expected = whole.append(text);
        EventStream cut;
        std::string got;
        for (const char letter : text) {
            got += cut.append(std::string(1, letter));
        }
        RC_ASSERT(got == expected);
        RC_ASSERT(cut.data() == whole.data());
        RC_ASSERT(got + cut.remainder() == text);
    }));
}
