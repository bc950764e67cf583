#include "api/json.h"
#include "fuzz/parsers.h"
#include "wire/framecodec.h"

#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace briarhinge;

namespace
{

using Bytes = std::vector<std::uint8_t>;

enum ParserChoice : std::uint8_t {
    ProgramParser,
    CallParser,
    FrameParser,
    LengthParser,
    EventParser,
};

Bytes parserInput(ParserChoice parser, const std::string &text)
{
    Bytes input(1 + text.size(), parser);
    std::copy(text.begin(), text.end(), input.begin() + 1);
    return input;
}

Bytes frameInput(wire::MessageUnion message)
{
    wire::FrameT frame;
    frame.request_id = 7;
    frame.message = std::move(message);
    const auto encoded = wire::encodeFrame(frame);
    return parserInput(FrameParser, {encoded.begin() + wire::lengthPrefixBytes, encoded.end()});
}

/** Valid inputs to start from. */
std::vector<Bytes> seeds()
{
    wire::ExecuteCallT execute;
    execute.program = "order-1";
    execute.target = "charge";
    execute.prompt = "12 pouches";
    wire::ClientRequestT request;
    request.program = "order-1";
    request.body = "{}";
    wire::MessageUnion executeMessage;
    executeMessage.Set(std::move(execute));
    wire::MessageUnion requestMessage;
    requestMessage.Set(std::move(request));
    return {parserInput(ProgramParser, R"({"id":"a.b","kind":"chat","account":"huye","parent":"a"})"),
            parserInput(CallParser, R"({"type":"model","model":"small","input":"x","maxTokens":5,"extends":"d"})"),
            parserInput(CallParser, R"({"type":"tool","tool":"charge","input":"x","idempotent":false,"maxCost":5})"),
            frameInput(std::move(executeMessage)),
            frameInput(std::move(requestMessage)),
            Bytes{LengthParser, 1, 0, 0, 0},
            parserInput(EventParser, "data: {\"choices\":[]}\r\n\r\ndata: [DONE]\n")};
}

/** Mutates valid inputs: replaces, flips, inserts, erases and cuts off bytes. */
class Mutator
{
public:
    Bytes next()
    {
        Bytes input = m_seeds[below(m_seeds.size())];
        const std::size_t changes = 1 + below(6);
        for (std::size_t i = 0; i < changes; ++i) {
            change(input);
        }
        return input;
    }

private:
    void change(Bytes &input)
    {
        if (input.size() < 2) {
            return;
        }
        const auto at = static_cast<std::ptrdiff_t>(1 + below(input.size() - 1));
        switch (below(5)) {
        case 0:
            input[at] = static_cast<std::uint8_t>(below(256));
            break;
        case 1:
            input[at] ^= static_cast<std::uint8_t>(1U << below(8));
            break;
        case 2:
            input.resize(at);
            break;
        case 3:
            input.insert(input.begin() + at, 1 + below(9), static_cast<std::uint8_t>("[]{}\",:\\"[below(8)]));
            break;
        default:
            input.erase(input.begin() + at);
        }
    }

    std::size_t below(std::size_t bound)
    {
        return m_random() % bound;
    }

    // A fixed seed: every run tries the same inputs.
    std::mt19937 m_random{20261203};
    const std::vector<Bytes> m_seeds = seeds();
};

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

std::string refusal(const std::string &body)
{
    const auto parsed = api::parseProgram(body);
    CHECK(std::holds_alternative<api::BadRequest>(parsed));
    return std::get<api::BadRequest>(parsed).text;
}

}

TEST_GROUP(BadInput){};

TEST(BadInput, MutatedInputsNeverBreakAParser)
{
    constexpr std::size_t inputs = 30'000;
    Mutator mutator;
    std::size_t accepted = 0;
    for (std::size_t i = 0; i < inputs; ++i) {
        accepted += fuzz::feed(mutator.next()) ? 1 : 0;
    }
    CHECK(accepted > 0);
    CHECK(accepted < inputs);
}

TEST(BadInput, SeedsOfTheFuzzerAreAccepted)
{
    for (const Bytes &seed : seeds()) {
        CHECK(fuzz::feed(seed));
    }
}

TEST(BadInput, DeeplyNestedFieldIsRefusedWithoutShowingIt)
{
    constexpr std::size_t depth = 900'000;
    STRCMP_CONTAINS("\"id\" must be a string, is an array", refusal(R"({"id":)" + nested(depth) + "}").c_str());
}

TEST(BadInput, ErrorShowsOnlyTheBeginningOfALongValue)
{
    constexpr std::size_t bytes = 1'000'000;
    CHECK(refusal(R"({"id":")" + std::string(bytes, '!') + R"(","kind":"k","account":"a"})").size() < 400);
    CHECK(refusal(R"({"id":"a","kind":"k","account":"a",")" + std::string(bytes, 'x') + R"(":1})").size() < 400);
}
