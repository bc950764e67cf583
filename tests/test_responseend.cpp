#include "forwarding/eventstream.h"
#include "forwarding/livenesscheck.h"
#include "http/responseend.h"

#include <array>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace briarhinge;
using forwarding::Reachability;
using http::Completeness;
using http::ContentEnd;
using http::Ending;
using http::Framing;

namespace
{

constexpr std::array framings{Framing::None, Framing::Length, Framing::Chunks, Framing::UntilClose};
constexpr std::array endings{Ending::Delimited, Ending::Closed, Ending::Lost, Ending::Invalid};
constexpr std::array contents{ContentEnd::Unknown, ContentEnd::Stated, ContentEnd::InsideItem, ContentEnd::BetweenItems,
                              ContentEnd::BeforeFirstItem};

/** Answers probes at once with the given results in turn. */
class ScriptedProber
{
public:
    void probe(const wire::Address &, base::Milliseconds, const std::function<void(Reachability)> &onResult)
    {
        const Reachability result = results.at(probes);
        ++probes;
        onResult(result);
    }

    std::vector<Reachability> results;
    std::size_t probes = 0;
};

bool isAlive(std::vector<Reachability> results)
{
    ScriptedProber prober;
    prober.results = std::move(results);
    forwarding::LivenessCheck<ScriptedProber> check(prober);
    bool lives = false;
    check.check({"127.0.0.1", 1}, [&lives](bool result) {
        lives = result;
    });
    LONGS_EQUAL(prober.results.size(), prober.probes);
    return lives;
}

}

TEST_GROUP(ResponseEnd){};

// Guards against readers that take a lost connection, an invalid response or a cut item for the end of a response.
TEST(ResponseEnd, nothingIsWholeAfterALossOrInsideAnItemOrWithoutAHead)
{
    for (const Framing framing : framings) {
        for (const ContentEnd content : contents) {
            for (const Ending ending : endings) {
                CHECK(http::completeness({false, framing, ending}, content) == Completeness::BrokenOff);
                CHECK(http::completeness({true, framing, ending}, ContentEnd::InsideItem) == Completeness::BrokenOff);
            }
            CHECK(http::completeness({true, framing, Ending::Lost}, content) == Completeness::BrokenOff);
            CHECK(http::completeness({true, framing, Ending::Invalid}, content) == Completeness::BrokenOff);
        }
    }
}

TEST(ResponseEnd, aFramingThatIsFulfilledIsProof)
{
    for (const Framing framing : {Framing::None, Framing::Length, Framing::Chunks}) {
        for (const ContentEnd content : contents) {
            const bool isWhole = content != ContentEnd::InsideItem;
            CHECK((http::completeness({true, framing, Ending::Delimited}, content) == Completeness::Complete)
                  == isWhole);
            CHECK(http::completeness({true, framing, Ending::Closed}, content) == Completeness::BrokenOff);
        }
    }
}

// Guards against an orderly close being taken for the end of a response without a length.
TEST(ResponseEnd, anOrderlyCloseIsNoProofByItself)
{
    const http::ResponseEnd closed{true, Framing::UntilClose, Ending::Closed};
    CHECK(http::completeness(closed, ContentEnd::Stated) == Completeness::Complete);
    CHECK(http::completeness(closed, ContentEnd::Unknown) == Completeness::CompleteIfServerLives);
    CHECK(http::completeness(closed, ContentEnd::BetweenItems) == Completeness::CompleteIfServerLives);
    CHECK(http::completeness(closed, ContentEnd::BeforeFirstItem) == Completeness::BrokenOff);
}

TEST(ResponseEnd, aRunnerLivesIfItListensAndALostPacketDoesNotCount)
{
    CHECK(isAlive({Reachability::Reachable}));
    CHECK(isAlive({Reachability::Silent, Reachability::Reachable}));
    CHECK_FALSE(isAlive({Reachability::Refused}));
    CHECK_FALSE(isAlive({Reachability::Silent, Reachability::Refused}));
    CHECK_FALSE(isAlive({Reachability::Silent, Reachability::Silent}));
}

TEST(ResponseEnd, wholeCommentsAfterTheLastEventAreNotInsideAnEvent)
{
    forwarding::EventStream stream;
    stream.append("data: a\n\n");
    CHECK_FALSE(stream.isInsideEvent());
    stream.append(": ping\n");
    CHECK_FALSE(stream.isInsideEvent());
    stream.append(": pi");
    CHECK(stream.isInsideEvent());
    stream.append("ng\nid: 2\n");
    CHECK(stream.isInsideEvent());
    stream.append("\n");
    CHECK_FALSE(stream.isInsideEvent());
}
