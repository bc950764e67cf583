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
    STRCMP_EQUAL("id: 1\ndata: one\n\n", stream.take("id: 1\ndata: one\n\nid: 2\nda").c_str());
    STRCMP_EQUAL("id: 2\nda", stream.rest().c_str());
    STRCMP_EQUAL("id: 2\ndata: two\n\n", stream.take("ta: two\n\n").c_str());
    STRCMP_EQUAL("one\ntwo\n", stream.data().c_str());
    LONGS_EQUAL(2, stream.count());
}

TEST(EventStream, severalDataLinesAreOneEvent)
{
    stream.take("x-weight-versions: 3\ndata:a\r\ndata: b\r\n\r\n");
    STRCMP_EQUAL("a\nb\n", stream.data().c_str());
    LONGS_EQUAL(1, stream.count());
}

TEST(EventStream, commentsAreNoEvents)
{
    stream.take(": ping\n\n");
    LONGS_EQUAL(0, stream.count());
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
        const std::string expected = whole.take(text);
        EventStream cut;
        std::string got;
        for (const char letter : text) {
            got += cut.take(std::string(1, letter));
        }
        RC_ASSERT(got == expected);
        RC_ASSERT(cut.data() == whole.data());
        RC_ASSERT(got + cut.rest() == text);
    }));
}
