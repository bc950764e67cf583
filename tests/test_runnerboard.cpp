#include "dispatch/partcache.h"
#include "dispatch/runnerboard.h"
#include "dispatch/urgency.h"

#include <CppUTest/TestHarness.h>

using namespace briarhinge;
using namespace briarhinge::dispatch;

namespace
{

const base::ZoneName here("a");
const forwarding::ServiceName chat("chat");
const RunnerBoard::Time start = RunnerBoard::Time{} + std::chrono::hours(1);

RegisteredRunner runner(const std::string &id, const std::string &zone = "a", std::uint64_t startedAt = 1,
                        std::uint64_t sequence = 1)
{
    RegisteredRunner entry;
    entry.id = RunnerId(id);
    entry.service = chat;
    entry.address = {"127.0.0.1", 8000};
    entry.zone = base::ZoneName(zone);
    entry.slots = 4;
    entry.startedAt = startedAt;
    entry.sequence = sequence;
    return entry;
}

Need turnOf(std::uint64_t tokens, const std::vector<forwarding::PromptPart> &parts)
{
    Need need;
    need.service = chat;
    need.promptTokens = base::Tokens(tokens);
    need.promptParts = parts;
    need.engine = forwarding::EngineTraits{4, base::Tokens(10'000), base::Tokens(10)};
    return need;
}

forwarding::PromptPart part(const std::string &id, std::uint64_t tokens)
{
    return {id, base::Tokens(tokens)};
}

std::string chosen(RunnerBoard &board, const Need &need, RunnerBoard::Time now = start)
{
    const auto found = board.choose(need, now);
    const auto *choice = std::get_if<Choice>(&found);
    return choice == nullptr ? std::string() : choice->id.value();
}

}

TEST_GROUP(RunnerBoard)
{
    RunnerBoard board{here};
};

TEST(RunnerBoard, aTurnGoesWhereItsPromptIsKept)
{
    board.registered(runner("one"));
    board.registered(runner("two"));
    const Need first = turnOf(4000, {part("shared", 500), part("own", 3500)});
    const std::string home = chosen(board, first);
    board.sent(RunnerId(home), first);
    board.ended(RunnerId(home));
    for (int i = 0; i < 20; ++i) {
        STRCMP_EQUAL(home.c_str(), chosen(board, first).c_str());
    }
}

TEST(RunnerBoard, aProgramThatCameThroughAnotherEntryGoesWhereItsLastTurnRan)
{
    board.registered(runner("one"));
    board.registered(runner("two"));
    Need need = turnOf(4000, {part("shared", 500), part("own", 3500)});
    need.home = RunnerId("two");
    for (int i = 0; i < 8; ++i) {
        STRCMP_EQUAL("two", chosen(board, need).c_str());
    }
    board.loadSeen(RunnerId("two"), {4, 4, 4}, start);
    STRCMP_EQUAL("one", chosen(board, need).c_str());
}

TEST(RunnerBoard, aBurstOfProgramsWithOneSharedPartIsSpread)
{
    board.registered(runner("one"));
    board.registered(runner("two"));
    std::map<std::string, int> counts;
    for (int i = 0; i < 8; ++i) {
        const Need need = turnOf(700, {part("shared", 500), part("own" + std::to_string(i), 200)});
        const std::string id = chosen(board, need);
        board.sent(RunnerId(id), need);
        ++counts[id];
    }
    LONGS_EQUAL(4, counts["one"]);
    LONGS_EQUAL(4, counts["two"]);
}

TEST(RunnerBoard, whatOtherEntriesSendIsSeenInTheToldLoad)
{
    board.registered(runner("one"));
    board.registered(runner("two"));
    board.loadSeen(RunnerId("one"), {4, 3, 4}, start);
    STRCMP_EQUAL("two", chosen(board, turnOf(0, {})).c_str());
}

TEST(RunnerBoard, aDrainingOrForgottenRunnerGetsNothing)
{
    auto leaving = runner("one");
    leaving.isDraining = true;
    board.registered(leaving);
    STRCMP_EQUAL("", chosen(board, turnOf(0, {})).c_str());
    board.registered(runner("two"));
    board.removed(RunnerId("two"));
    STRCMP_EQUAL("", chosen(board, turnOf(0, {})).c_str());
}

TEST(RunnerBoard, anEntryOfAnOlderStartChangesNothing)
{
    auto leaving = runner("one", "a", 5, 9);
    leaving.isDraining = true;
    board.registered(leaving);
    CHECK_FALSE(board.registered(runner("one", "a", 4, 20)));
    CHECK_FALSE(board.registered(runner("one", "a", 5, 8)));
    STRCMP_EQUAL("", chosen(board, turnOf(0, {})).c_str());
    CHECK(board.registered(runner("one", "a", 6, 1)));
    STRCMP_EQUAL("one", chosen(board, turnOf(0, {})).c_str());
}

TEST(RunnerBoard, aRunnerThatStartedAgainKeepsNothing)
{
    board.registered(runner("one", "a", 1));
    const Need need = turnOf(1000, {part("x", 1000)});
    board.sent(RunnerId("one"), need);
    board.registered(runner("one", "a", 2));
    const auto found = board.choose(need, start);
    LONGS_EQUAL(0, std::get<Choice>(found).cached.value());
}

TEST(RunnerBoard, aRunnerThatFailedIsLeftAloneWhileOthersWork)
{
    board.registered(runner("one"));
    board.registered(runner("two"));
    board.failed(RunnerId("one"), start);
    for (int i = 0; i < 8; ++i) {
        STRCMP_EQUAL("two", chosen(board, turnOf(0, {})).c_str());
    }
}

TEST(RunnerBoard, runnersThatRefuseAreToldApartFromRunnersThatAreGone)
{
    board.registered(runner("one"));
    board.refused(RunnerId("one"), start);
    const auto full = board.choose(turnOf(0, {}), start);
    CHECK(std::get<NoPlace>(full).isFull);
    board.removed(RunnerId("one"));
    const auto gone = board.choose(turnOf(0, {}), start);
    CHECK_FALSE(std::get<NoPlace>(gone).isFull);
}

namespace
{

const forwarding::RouteName lookups("lookups");

Need lookup()
{
    Need need;
    need.service = chat;
    return need;
}

std::map<std::string, int> sharesOf(RunnerBoard &board, const Need &need, RunnerBoard::Time now, int count)
{
    std::map<std::string, int> shares;
    for (int i = 0; i < count; ++i) {
        const std::string id = chosen(board, need, now);
        board.sent(RunnerId(id), need);
        board.ended(RunnerId(id));
        ++shares[id];
    }
    return shares;
}

}

TEST(RunnerBoard, whenSomeRunnersOfAServiceTurnSlowRequestsGoToTheOthersAndComeBackLater)
{
    board.registered(runner("slow"));
    board.registered(runner("sound"));
    for (int i = 0; i < 20; ++i) {
        board.answered(RunnerId(i % 2 == 0 ? "slow" : "sound"), lookups, UsualTimes::Time(30), start);
    }
    CHECK(sharesOf(board, lookup(), start, 20)["slow"] > 5);
    board.answered(RunnerId("slow"), lookups, UsualTimes::Time(180), start);
    board.answered(RunnerId("slow"), lookups, UsualTimes::Time(240), start);
    LONGS_EQUAL(0, sharesOf(board, lookup(), start, 20)["slow"]);
    CHECK(sharesOf(board, lookup(), start + std::chrono::seconds(15), 20)["slow"] > 5);
}

TEST(RunnerBoard, aRunnerThatFailsPartOfItsRequestsIsLeftAloneThoughItAnswersOthers)
{
    board.registered(runner("grey"));
    board.registered(runner("sound"));
    for (int i = 0; i < 6; ++i) {
        board.answered(RunnerId("grey"), lookups, UsualTimes::Time(30), start);
        board.answered(RunnerId("sound"), lookups, UsualTimes::Time(30), start);
    }
    for (int i = 0; i < 3; ++i) {
        board.erred(RunnerId("grey"), start);
        board.answered(RunnerId("grey"), lookups, UsualTimes::Time(30), start);
        board.progressed(RunnerId("grey"));
    }
    LONGS_EQUAL(0, sharesOf(board, lookup(), start, 20)["grey"]);
}

TEST(RunnerBoard, whenAFewAnswersOfSomeRunnersAreSpoiledInABurstTheOthersAreNotFloodedForIt)
{
    board.registered(runner("spoiling"));
    board.registered(runner("sound"));
    for (int i = 0; i < 20; ++i) {
        board.answered(RunnerId("spoiling"), lookups, UsualTimes::Time(30), start);
        board.answered(RunnerId("sound"), lookups, UsualTimes::Time(30), start);
    }
    board.erred(RunnerId("spoiling"), start);
    board.loadSeen(RunnerId("spoiling"), {4, 2, 4}, start);
    board.loadSeen(RunnerId("sound"), {4, 5, 4}, start);
    STRCMP_EQUAL("spoiling", chosen(board, lookup()).c_str());
}

TEST(RunnerBoard, aRequestThatARunnerWithFreePlacesHoldsWithoutAWordCountsAsSlow)
{
    board.registered(runner("hanging"));
    board.registered(runner("sound"));
    for (int i = 0; i < 20; ++i) {
        board.answered(RunnerId("sound"), lookups, UsualTimes::Time(30), start);
    }
    board.stoodStill(RunnerId("hanging"), lookups, UsualTimes::Time(900), start);
    LONGS_EQUAL(0, sharesOf(board, lookup(), start, 20)["hanging"]);
}

TEST(RunnerBoard, aRequestThatWaitsAtAFullRunnerSaysNothingOfItsPace)
{
    board.registered(runner("full"));
    for (int i = 0; i < 20; ++i) {
        board.answered(RunnerId("full"), lookups, UsualTimes::Time(30), start);
    }
    board.registered(runner("other"));
    board.loadSeen(RunnerId("full"), {4, 3, 4}, start);
    board.stoodStill(RunnerId("full"), lookups, UsualTimes::Time(900), start);
    const auto later = start + std::chrono::seconds(2);
    CHECK(sharesOf(board, lookup(), later, 20)["full"] > 5);
}

TEST_GROUP(PartCache){};

TEST(PartCache, onlyTheBeginningOfAPromptCounts)
{
    PartCache cache;
    cache.sent({part("a", 10), part("b", 20)}, base::Tokens(100));
    LONGS_EQUAL(30, cache.cached({part("a", 10), part("b", 20), part("c", 5)}).value());
    LONGS_EQUAL(10, cache.cached({part("a", 10), part("c", 5), part("b", 20)}).value());
}

TEST(PartCache, theLeastRecentlyUsedPartsYield)
{
    PartCache cache;
    cache.sent({part("a", 60)}, base::Tokens(100));
    cache.sent({part("b", 60)}, base::Tokens(100));
    LONGS_EQUAL(0, cache.cached({part("a", 60)}).value());
    LONGS_EQUAL(60, cache.cached({part("b", 60)}).value());
}

TEST_GROUP(Urgency){};

namespace
{

constexpr base::Milliseconds notWaited{0};

forwarding::CallerRequest turnWithTimeLeft(base::Milliseconds left, const std::string &previous)
{
    forwarding::CallerRequest turn;
    turn.programTimeLeft = left;
    turn.previousTurn = turns::TurnId(previous);
    return turn;
}

}

TEST(Urgency, urgentRoutesComeFirstAndBegunProgramsBeforeNewOnes)
{
    forwarding::Route urgent;
    urgent.keepsTurns = true;
    forwarding::Route other = urgent;
    other.priority = 1;
    forwarding::CallerRequest first;
    forwarding::CallerRequest later;
    later.previousTurn = turns::TurnId("t");
    CHECK(urgencyOf(urgent, later, notWaited) < urgencyOf(urgent, first, notWaited));
    CHECK(urgencyOf(urgent, first, notWaited) < urgencyOf(other, later, notWaited));
    CHECK(urgencyOf(other, later, notWaited) < urgencyOf(other, first, notWaited));
}

TEST(Urgency, inABurstProgramsThatAreLateAnywayWaitBehindAllThatCanBeInTime)
{
    forwarding::Route urgent;
    urgent.keepsTurns = true;
    forwarding::Route other = urgent;
    other.priority = 1;
    const auto late = turnWithTimeLeft(base::Milliseconds(-400), "t");
    const auto fresh = turnWithTimeLeft(base::Milliseconds(1500), "");
    CHECK(urgencyOf(other, fresh, notWaited) < urgencyOf(urgent, late, notWaited));
    CHECK(urgencyOf(urgent, late, notWaited) < urgencyOf(other, late, notWaited));
}

TEST(Urgency, aProgramBecomesLateWhileItsTurnWaits)
{
    forwarding::Route route;
    route.keepsTurns = true;
    const auto turn = turnWithTimeLeft(base::Milliseconds(300), "t");
    CHECK(urgencyOf(route, turn, notWaited) < urgencyOf(route, turn, base::Milliseconds(250)));
}
