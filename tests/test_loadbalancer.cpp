#include "dispatch/loadbalancer.h"
#include "dispatch/promptcacheestimate.h"
#include "dispatch/urgency.h"

#include <CppUTest/TestHarness.h>

using namespace briarhinge;
using namespace briarhinge::dispatch;

namespace
{

const base::ZoneName localZone("a");
const requests::ServiceName chat("chat");
const LoadBalancer::Time start = LoadBalancer::Time{} + std::chrono::hours(1);

RegisteredRunner runner(const std::string &id, const std::string &zone = "a", std::uint64_t startedAt = 1,
                        std::uint64_t sequence = 1)
{
    RegisteredRunner registration;
    registration.id = RunnerId(id);
    registration.service = chat;
    registration.address = {"127.0.0.1", 8000};
    registration.zone = base::ZoneName(zone);
    registration.slots = 4;
    registration.startedAt = startedAt;
    registration.sequence = sequence;
    return registration;
}

PlacementRequest turnRequest(std::uint64_t tokens, const std::vector<requests::PromptBlock> &blocks)
{
    PlacementRequest request;
    request.service = chat;
    request.promptTokens = base::Tokens(tokens);
    request.promptBlocks = blocks;
    request.engine = requests::EngineTraits{4, base::Tokens(10'000), base::Tokens(10)};
    return request;
}

requests::PromptBlock block(const std::string &id, std::uint64_t tokens)
{
    return {id, base::Tokens(tokens)};
}

std::string selectedRunner(LoadBalancer &balancer, const PlacementRequest &request, LoadBalancer::Time now = start)
{
    const auto found = balancer.selectRunner(request, now);
    const auto *placement = std::get_if<Placement>(&found);
    return placement == nullptr ? std::string() : placement->id.value();
}

}

TEST_GROUP(LoadBalancer)
{
    LoadBalancer balancer{localZone};
};

TEST(LoadBalancer, aTurnGoesWhereItsPromptIsCached)
{
    balancer.registerRunner(runner("one"));
    balancer.registerRunner(runner("two"));
    const PlacementRequest first = turnRequest(4000, {block("shared", 500), block("own", 3500)});
    const std::string selected = selectedRunner(balancer, first);
    balancer.requestSent(RunnerId(selected), first);
    balancer.requestEnded(RunnerId(selected));
    for (int i = 0; i < 20; ++i) {
        STRCMP_EQUAL(selected.c_str(), selectedRunner(balancer, first).c_str());
    }
}

TEST(LoadBalancer, aProgramThatCameThroughAnotherEntryGoesWhereItsLastTurnRan)
{
    balancer.registerRunner(runner("one"));
    balancer.registerRunner(runner("two"));
    PlacementRequest request = turnRequest(4000, {block("shared", 500), block("own", 3500)});
    request.previousRunner = RunnerId("two");
    for (int i = 0; i < 8; ++i) {
        STRCMP_EQUAL("two", selectedRunner(balancer, request).c_str());
    }
    balancer.loadReported(RunnerId("two"), {4, 4, 4}, start);
    STRCMP_EQUAL("one", selectedRunner(balancer, request).c_str());
}

TEST(LoadBalancer, aBurstOfProgramsWithOneSharedBlockIsSpread)
{
    balancer.registerRunner(runner("one"));
    balancer.registerRunner(runner("two"));
    std::map<std::string, int> counts;
    for (int i = 0; i < 8; ++i) {
        const PlacementRequest request =
            turnRequest(700, {block("shared", 500), block("own" + std::to_string(i), 200)});
        const std::string id = selectedRunner(balancer, request);
        balancer.requestSent(RunnerId(id), request);
        ++counts[id];
    }
    LONGS_EQUAL(4, counts["one"]);
    LONGS_EQUAL(4, counts["two"]);
}

// Guards against crashes that break off the requests of a busy runner.
TEST(LoadBalancer, aSuspectGoesToTheRunnerWithTheFewestRequestsThoughItsPromptIsCachedElsewhere)
{
    balancer.registerRunner(runner("one"));
    balancer.registerRunner(runner("two"));
    PlacementRequest request = turnRequest(4000, {block("own", 4000)});
    balancer.requestSent(RunnerId("one"), request);
    STRCMP_EQUAL("one", selectedRunner(balancer, request).c_str());
    request.isSuspect = true;
    STRCMP_EQUAL("two", selectedRunner(balancer, request).c_str());
}

TEST(LoadBalancer, loadFromOtherEntriesIsSeenInTheReportedLoad)
{
    balancer.registerRunner(runner("one"));
    balancer.registerRunner(runner("two"));
    balancer.loadReported(RunnerId("one"), {4, 3, 4}, start);
    STRCMP_EQUAL("two", selectedRunner(balancer, turnRequest(0, {})).c_str());
}

TEST(LoadBalancer, aDrainingOrRemovedRunnerGetsNoRequests)
{
    auto leaving = runner("one");
    leaving.isDraining = true;
    balancer.registerRunner(leaving);
    STRCMP_EQUAL("", selectedRunner(balancer, turnRequest(0, {})).c_str());
    balancer.registerRunner(runner("two"));
    balancer.removeRunner(RunnerId("two"));
    STRCMP_EQUAL("", selectedRunner(balancer, turnRequest(0, {})).c_str());
}

TEST(LoadBalancer, anOlderRegistrationIsIgnored)
{
    auto leaving = runner("one", "a", 5, 9);
    leaving.isDraining = true;
    balancer.registerRunner(leaving);
    CHECK_FALSE(balancer.registerRunner(runner("one", "a", 4, 20)));
    CHECK_FALSE(balancer.registerRunner(runner("one", "a", 5, 8)));
    STRCMP_EQUAL("", selectedRunner(balancer, turnRequest(0, {})).c_str());
    CHECK(balancer.registerRunner(runner("one", "a", 6, 1)));
    STRCMP_EQUAL("one", selectedRunner(balancer, turnRequest(0, {})).c_str());
}

TEST(LoadBalancer, aRestartedRunnerHasAnEmptyCache)
{
    balancer.registerRunner(runner("one", "a", 1));
    const PlacementRequest request = turnRequest(1000, {block("x", 1000)});
    balancer.requestSent(RunnerId("one"), request);
    balancer.registerRunner(runner("one", "a", 2));
    const auto found = balancer.selectRunner(request, start);
    LONGS_EQUAL(0, std::get<Placement>(found).cachedTokens.value());
}

TEST(LoadBalancer, aRunnerThatFailedIsAvoidedWhileOthersWork)
{
    balancer.registerRunner(runner("one"));
    balancer.registerRunner(runner("two"));
    balancer.connectionFailed(RunnerId("one"), start);
    for (int i = 0; i < 8; ++i) {
        STRCMP_EQUAL("two", selectedRunner(balancer, turnRequest(0, {})).c_str());
    }
}

TEST(LoadBalancer, fullRunnersAreDistinguishedFromMissingRunners)
{
    balancer.registerRunner(runner("one"));
    balancer.requestRefused(RunnerId("one"), start);
    const auto full = balancer.selectRunner(turnRequest(0, {}), start);
    CHECK(std::get<NoCapacity>(full).hasFullRunners);
    balancer.removeRunner(RunnerId("one"));
    const auto gone = balancer.selectRunner(turnRequest(0, {}), start);
    CHECK_FALSE(std::get<NoCapacity>(gone).hasFullRunners);
}

namespace
{

const requests::RouteName lookups("lookups");

PlacementRequest lookup()
{
    PlacementRequest request;
    request.service = chat;
    return request;
}

std::map<std::string, int> requestsPerRunner(LoadBalancer &balancer, const PlacementRequest &request,
                                             LoadBalancer::Time now, int count)
{
    std::map<std::string, int> shares;
    for (int i = 0; i < count; ++i) {
        const std::string id = selectedRunner(balancer, request, now);
        balancer.requestSent(RunnerId(id), request);
        balancer.requestEnded(RunnerId(id));
        ++shares[id];
    }
    return shares;
}

}

TEST(LoadBalancer, whenSomeRunnersOfAServiceTurnSlowRequestsGoToTheOthersAndComeBackLater)
{
    balancer.registerRunner(runner("slow"));
    balancer.registerRunner(runner("sound"));
    for (int i = 0; i < 20; ++i) {
        balancer.requestAnswered(RunnerId(i % 2 == 0 ? "slow" : "sound"), lookups, TypicalDurations::Duration(30),
                                 start);
    }
    CHECK(requestsPerRunner(balancer, lookup(), start, 20)["slow"] > 5);
    balancer.requestAnswered(RunnerId("slow"), lookups, TypicalDurations::Duration(180), start);
    balancer.requestAnswered(RunnerId("slow"), lookups, TypicalDurations::Duration(240), start);
    LONGS_EQUAL(0, requestsPerRunner(balancer, lookup(), start, 20)["slow"]);
    CHECK(requestsPerRunner(balancer, lookup(), start + std::chrono::seconds(15), 20)["slow"] > 5);
}

TEST(LoadBalancer, aRunnerThatFailsSomeRequestsIsAvoidedThoughItAnswersOthers)
{
    balancer.registerRunner(runner("grey"));
    balancer.registerRunner(runner("sound"));
    for (int i = 0; i < 6; ++i) {
        balancer.requestAnswered(RunnerId("grey"), lookups, TypicalDurations::Duration(30), start);
        balancer.requestAnswered(RunnerId("sound"), lookups, TypicalDurations::Duration(30), start);
    }
    for (int i = 0; i < 3; ++i) {
        balancer.requestFailed(RunnerId("grey"), start);
        balancer.requestAnswered(RunnerId("grey"), lookups, TypicalDurations::Duration(30), start);
        balancer.responseStarted(RunnerId("grey"));
    }
    LONGS_EQUAL(0, requestsPerRunner(balancer, lookup(), start, 20)["grey"]);
}

TEST(LoadBalancer, aSingleFailureInABurstDoesNotOverloadTheOtherRunners)
{
    balancer.registerRunner(runner("spoiling"));
    balancer.registerRunner(runner("sound"));
    for (int i = 0; i < 20; ++i) {
        balancer.requestAnswered(RunnerId("spoiling"), lookups, TypicalDurations::Duration(30), start);
        balancer.requestAnswered(RunnerId("sound"), lookups, TypicalDurations::Duration(30), start);
    }
    balancer.requestFailed(RunnerId("spoiling"), start);
    balancer.loadReported(RunnerId("spoiling"), {4, 2, 4}, start);
    balancer.loadReported(RunnerId("sound"), {4, 5, 4}, start);
    STRCMP_EQUAL("spoiling", selectedRunner(balancer, lookup()).c_str());
}

TEST(LoadBalancer, aRequestWithoutResponseFromARunnerWithFreeSlotsCountsAsSlow)
{
    balancer.registerRunner(runner("hanging"));
    balancer.registerRunner(runner("sound"));
    for (int i = 0; i < 20; ++i) {
        balancer.requestAnswered(RunnerId("sound"), lookups, TypicalDurations::Duration(30), start);
    }
    balancer.requestStalled(RunnerId("hanging"), lookups, TypicalDurations::Duration(900), start);
    LONGS_EQUAL(0, requestsPerRunner(balancer, lookup(), start, 20)["hanging"]);
}

TEST(LoadBalancer, aRequestThatWaitsAtAFullRunnerDoesNotCountAsSlow)
{
    balancer.registerRunner(runner("full"));
    for (int i = 0; i < 20; ++i) {
        balancer.requestAnswered(RunnerId("full"), lookups, TypicalDurations::Duration(30), start);
    }
    balancer.registerRunner(runner("other"));
    balancer.loadReported(RunnerId("full"), {4, 3, 4}, start);
    balancer.requestStalled(RunnerId("full"), lookups, TypicalDurations::Duration(900), start);
    const auto later = start + std::chrono::seconds(2);
    CHECK(requestsPerRunner(balancer, lookup(), later, 20)["full"] > 5);
}

TEST_GROUP(PromptCacheEstimate){};

TEST(PromptCacheEstimate, onlyTheBeginningOfAPromptCounts)
{
    PromptCacheEstimate cache;
    cache.recordPrompt({block("a", 10), block("b", 20)}, base::Tokens(100));
    LONGS_EQUAL(30, cache.cachedTokens({block("a", 10), block("b", 20), block("c", 5)}).value());
    LONGS_EQUAL(10, cache.cachedTokens({block("a", 10), block("c", 5), block("b", 20)}).value());
}

TEST(PromptCacheEstimate, theLeastRecentlyUsedBlocksAreEvicted)
{
    PromptCacheEstimate cache;
    cache.recordPrompt({block("a", 60)}, base::Tokens(100));
    cache.recordPrompt({block("b", 60)}, base::Tokens(100));
    LONGS_EQUAL(0, cache.cachedTokens({block("a", 60)}).value());
    LONGS_EQUAL(60, cache.cachedTokens({block("b", 60)}).value());
}

TEST_GROUP(Urgency){};

namespace
{

constexpr base::Milliseconds notWaited{0};

requests::CallerRequest turnWithTimeLeft(base::Milliseconds left, const std::string &previous)
{
    requests::CallerRequest turn;
    turn.programTimeLeft = left;
    turn.previousTurn = turns::TurnId(previous);
    return turn;
}

}

TEST(Urgency, urgentRoutesComeFirstAndBegunProgramsBeforeNewOnes)
{
    requests::Route urgent;
    urgent.storesTurns = true;
    requests::Route other = urgent;
    other.priority = 1;
    requests::CallerRequest first;
    requests::CallerRequest later;
    later.previousTurn = turns::TurnId("t");
    CHECK(requestUrgency({std::nullopt, urgent.priority}, urgent, later, notWaited)
          < requestUrgency({std::nullopt, urgent.priority}, urgent, first, notWaited));
    CHECK(requestUrgency({std::nullopt, urgent.priority}, urgent, first, notWaited)
          < requestUrgency({std::nullopt, other.priority}, other, later, notWaited));
    CHECK(requestUrgency({std::nullopt, other.priority}, other, later, notWaited)
          < requestUrgency({std::nullopt, other.priority}, other, first, notWaited));
}

TEST(Urgency, inABurstProgramsThatAreLateAnywayWaitBehindAllThatCanBeInTime)
{
    requests::Route urgent;
    urgent.storesTurns = true;
    requests::Route other = urgent;
    other.priority = 1;
    const auto late = turnWithTimeLeft(base::Milliseconds(-400), "t");
    const auto fresh = turnWithTimeLeft(base::Milliseconds(1500), "");
    CHECK(requestUrgency({std::nullopt, other.priority}, other, fresh, notWaited)
          < requestUrgency({std::nullopt, urgent.priority}, urgent, late, notWaited));
    CHECK(requestUrgency({std::nullopt, urgent.priority}, urgent, late, notWaited)
          < requestUrgency({std::nullopt, other.priority}, other, late, notWaited));
}

TEST(Urgency, aProgramBecomesLateWhileItsTurnWaits)
{
    requests::Route route;
    route.storesTurns = true;
    const auto turn = turnWithTimeLeft(base::Milliseconds(300), "t");
    CHECK(requestUrgency({std::nullopt, route.priority}, route, turn, notWaited)
          < requestUrgency({std::nullopt, route.priority}, route, turn, base::Milliseconds(250)));
}
