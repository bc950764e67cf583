#include "platformdeployment.h"

#include <CppUTest/TestHarness.h>

using namespace briarhinge;
using namespace briarhinge::tests;
using standins::platform::Behaviour;
using standins::platform::StoreTrouble;

namespace
{

std::string previous(const std::string &id)
{
    return "X-Previous-Turn: " + id + "\r\n";
}

const std::string budget = "X-Token-Budget: 100\r\n";

}

TEST_GROUP(WholePlatform){};

TEST(WholePlatform, aTurnIsContinuedThroughAnotherEntryByteForByte)
{
    PlatformDeployment deployment;
    const auto first = deployment.ask(0, PlatformDeployment::turn("t1", "", "hello "));
    LONGS_EQUAL(200, first->status);
    CHECK(first->isWhole);
    STRCMP_EQUAL("id: 1\ndata: t1.1\n\nid: 2\ndata: t1.2\n\nid: 3\ndata: t1.3\n\n", first->body.c_str());
    CHECK(first->headers.find("X-Server-Stamp").has_value());
    const auto second = deployment.ask(1, PlatformDeployment::turn("t2", previous("t1"), "again"));
    LONGS_EQUAL(200, second->status);
    STRCMP_EQUAL("hello t1.1\nt1.2\nt1.3\nagain", deployment.model.arrivals().back().body.c_str());
    deployment.restartEntry(0);
    deployment.ask(0, PlatformDeployment::turn("t3", previous("t2"), "!"));
    STRCMP_EQUAL("hello t1.1\nt1.2\nt1.3\nagaint2.1\nt2.2\nt2.3\n!", deployment.model.arrivals().back().body.c_str());
}

TEST(WholePlatform, aTurnThatNobodyKnowsIsNotRun)
{
    PlatformDeployment deployment;
    LONGS_EQUAL(404, deployment.ask(0, PlatformDeployment::turn("t1", previous("none"), "x"))->status);
    LONGS_EQUAL(0, deployment.model.runs());
}

TEST(WholePlatform, withoutAQuorumOfTurnStoresNothingIsClaimedOfATurn)
{
    PlatformDeployment deployment;
    deployment.ask(0, PlatformDeployment::turn("t1", "", "x"));
    deployment.killTurnStore(0);
    LONGS_EQUAL(200, deployment.ask(1, PlatformDeployment::turn("t2", previous("t1"), "x"))->status);
    deployment.killTurnStore(1);
    deployment.restartEntry(1);
    const auto unknown = deployment.ask(1, PlatformDeployment::turn("t3", previous("none"), "x"));
    LONGS_EQUAL(503, unknown->status);
    CHECK(unknown->headers.find("Retry-After").has_value());
}

TEST(WholePlatform, aProgramGetsNoMoreTokensThanItsBudgetThroughAllEntries)
{
    PlatformDeployment deployment;
    // Each turn produces 30 tokens of the 40 that it may use at most.
    LONGS_EQUAL(200, deployment.ask(0, PlatformDeployment::turn("t1", budget, "x"))->status);
    LONGS_EQUAL(200, deployment.ask(1, PlatformDeployment::turn("t2", budget, "x"))->status);
    LONGS_EQUAL(200, deployment.ask(0, PlatformDeployment::turn("t3", budget, "x"))->status);
    LONGS_EQUAL(402, deployment.ask(1, PlatformDeployment::turn("t4", budget, "x"))->status);
    LONGS_EQUAL(3, deployment.model.runs());
}

TEST(WholePlatform, turnsThatCompeteForTheLastTokensDoNotBothRun)
{
    PlatformDeployment deployment;
    LONGS_EQUAL(200, deployment.ask(0, PlatformDeployment::turn("t1", budget, "x"))->status);
    deployment.model.always(Behaviour::Hang);
    const auto one = deployment.send(0, PlatformDeployment::turn("t2", budget, "x"));
    const auto other = deployment.send(1, PlatformDeployment::turn("t3", budget, "x"));
    CHECK(deployment.runUntil([&] {
        return one->isOver || other->isOver;
    }));
    LONGS_EQUAL(402, one->isOver ? one->status : other->status);
    CHECK(deployment.model.runs() <= 2);
}

TEST(WholePlatform, aTurnThatBreaksOffEndsWithoutItsEndAndCountsWhatItHandedOut)
{
    PlatformDeployment deployment;
    deployment.model.next(Behaviour::BreakOff);
    const auto broken = deployment.ask(0, PlatformDeployment::turn("t1", budget, "x"));
    CHECK_FALSE(broken->isWhole);
    LONGS_EQUAL(1, deployment.model.runs());
    LONGS_EQUAL(404, deployment.ask(0, PlatformDeployment::turn("t2", previous("t1"), "x"))->status);
    // 20 of 100 tokens are spent: two turns of at most 40 fit, a third does not.
    LONGS_EQUAL(200, deployment.ask(1, PlatformDeployment::turn("t3", budget, "x"))->status);
    LONGS_EQUAL(200, deployment.ask(1, PlatformDeployment::turn("t4", budget, "x"))->status);
    LONGS_EQUAL(402, deployment.ask(1, PlatformDeployment::turn("t5", budget, "x"))->status);
}

TEST(WholePlatform, anIdempotentRequestWhoseAnswerIsLostGoesToAnotherRunner)
{
    PlatformDeployment deployment;
    deployment.toolOne.always(Behaviour::LoseAnswer);
    for (int i = 0; i < 6; ++i) {
        const auto asked = deployment.ask(0, PlatformDeployment::call("GET", "/safe/x", "r" + std::to_string(i)));
        LONGS_EQUAL(200, asked->status);
    }
    CHECK(deployment.toolOne.runs() > 0);
}

TEST(WholePlatform, aNonIdempotentRequestWhoseAnswerIsLostIsNeverSentAgain)
{
    PlatformDeployment deployment;
    deployment.toolOne.always(Behaviour::LoseAnswer);
    deployment.toolTwo.always(Behaviour::LoseAnswer);
    const auto asked = deployment.ask(0, PlatformDeployment::call("POST", "/unsafe/x", "r1", "Content-Length: 0\r\n"));
    LONGS_EQUAL(502, asked->status);
    LONGS_EQUAL(1, deployment.toolOne.runs() + deployment.toolTwo.runs());
}

TEST(WholePlatform, aSuccessThatNoRunnerSignedIsNotPassedOn)
{
    PlatformDeployment deployment;
    deployment.toolOne.always(Behaviour::Forge);
    deployment.toolTwo.always(Behaviour::Forge);
    const auto asked = deployment.ask(0, PlatformDeployment::call("POST", "/unsafe/x", "r1", "Content-Length: 0\r\n"));
    LONGS_EQUAL(502, asked->status);
    STRCMP_EQUAL("", asked->body.c_str());
}

TEST(WholePlatform, aRunnersRefusalSendsTheRequestElsewhereAndThenBackToTheCaller)
{
    PlatformDeployment deployment;
    deployment.toolOne.always(Behaviour::Refuse);
    deployment.toolTwo.next(Behaviour::Serve);
    LONGS_EQUAL(
        200, deployment.ask(0, PlatformDeployment::call("POST", "/unsafe/x", "r1", "Content-Length: 0\r\n"))->status);
    deployment.toolTwo.always(Behaviour::Misdirected);
    deployment.runFor(std::chrono::milliseconds(100));
    const auto refused =
        deployment.ask(0, PlatformDeployment::call("POST", "/unsafe/x", "r2", "Content-Length: 0\r\n"));
    LONGS_EQUAL(503, refused->status);
    CHECK(refused->headers.find("Retry-After").has_value());
    LONGS_EQUAL(1, deployment.toolOne.runs() + deployment.toolTwo.runs());
}

TEST(WholePlatform, aCallerThatLeavesStopsItsRunner)
{
    PlatformDeployment deployment;
    deployment.model.always(Behaviour::Hang);
    const auto asked = deployment.send(0, PlatformDeployment::turn("t1", "", "x"));
    CHECK(deployment.runUntil([&] {
        return deployment.model.runs() == 1;
    }));
    asked->connection->close();
    CHECK(deployment.runUntil([&] {
        return deployment.model.arrivals().back().isAbandoned;
    }));
}

TEST(WholePlatform, aRequestThatOutlivesItsRouteIsAnsweredAtItsLimit)
{
    PlatformDeployment deployment;
    deployment.toolOne.always(Behaviour::Hang);
    deployment.toolTwo.always(Behaviour::Hang);
    const auto began = std::chrono::steady_clock::now();
    const auto asked =
        deployment.ask(0, PlatformDeployment::call("GET", "/safe/x", "r1", "X-Deadline-Remaining: 400\r\n"));
    LONGS_EQUAL(504, asked->status);
    CHECK(std::chrono::steady_clock::now() - began < std::chrono::milliseconds(900));
}

TEST(WholePlatform, routingAndRunnersOutliveTheStore)
{
    PlatformDeployment deployment;
    deployment.store.setTrouble(StoreTrouble::Busy);
    deployment.runFor(std::chrono::milliseconds(500));
    deployment.store.remove("servers/i-tool-1");
    deployment.store.remove("servers/i-tool-2");
    LONGS_EQUAL(200, deployment.ask(0, PlatformDeployment::call("GET", "/safe/x", "r1"))->status);
    deployment.store.setTrouble(StoreTrouble::None);
    deployment.runFor(std::chrono::milliseconds(800));
    // Runners whose keys expired during the outage have time to register again.
    LONGS_EQUAL(200, deployment.ask(0, PlatformDeployment::call("GET", "/safe/x", "r2"))->status);
    deployment.runFor(std::chrono::milliseconds(2500));
    LONGS_EQUAL(503, deployment.ask(0, PlatformDeployment::call("GET", "/safe/x", "r3"))->status);
}

TEST(WholePlatform, aRunnerThatLeavesSomeSecondsAfterAnOutageIsGoneAtOnce)
{
    PlatformDeployment deployment;
    deployment.store.setTrouble(StoreTrouble::Busy);
    deployment.runFor(std::chrono::milliseconds(500));
    deployment.store.setTrouble(StoreTrouble::None);
    deployment.runFor(std::chrono::milliseconds(2700));
    deployment.store.remove("servers/i-tool-1");
    deployment.store.remove("servers/i-tool-2");
    deployment.runFor(std::chrono::milliseconds(400));
    LONGS_EQUAL(503, deployment.ask(0, PlatformDeployment::call("GET", "/safe/x", "r1"))->status);
}

TEST(WholePlatform, whatChangedBeforeTheHistoryWasDroppedIsSeen)
{
    PlatformDeployment deployment;
    deployment.store.put("servers/i-tool-1", deployment.toolOne.entry("tools", true));
    deployment.store.remove("servers/i-tool-2");
    deployment.store.dropHistory();
    deployment.runFor(std::chrono::milliseconds(900));
    LONGS_EQUAL(503, deployment.ask(0, PlatformDeployment::call("GET", "/safe/x", "r1"))->status);
}

TEST(WholePlatform, anEntryWithoutRoutingSaysThatItDoesNotKnow)
{
    PlatformDeployment deployment(0);
    deployment.runFor(std::chrono::milliseconds(300));
    deployment.store.setTrouble(StoreTrouble::Busy);
    deployment.restartEntry(0);
    LONGS_EQUAL(503, deployment.ask(0, PlatformDeployment::call("GET", "/safe/x", "r1"))->status);
    LONGS_EQUAL(404, deployment.ask(1, PlatformDeployment::call("GET", "/other/x", "r2"))->status);
}

TEST(WholePlatform, anEntryThatStartsWithoutTheStoreServesByWhatTurnStoresKnow)
{
    PlatformDeployment deployment;
    deployment.ask(0, PlatformDeployment::turn("t1", "", "one "));
    deployment.store.setTrouble(StoreTrouble::Silent);
    deployment.restartEntry(1);
    deployment.runFor(std::chrono::milliseconds(700));
    LONGS_EQUAL(200, deployment.ask(1, PlatformDeployment::turn("t2", previous("t1"), "two"))->status);
    LONGS_EQUAL(200, deployment.ask(1, PlatformDeployment::call("GET", "/safe/x", "r1"))->status);
    // Runners that were removed during the outage are dropped once the store is available again.
    deployment.store.remove("servers/i-tool-1");
    deployment.store.remove("servers/i-tool-2");
    deployment.store.setTrouble(StoreTrouble::None);
    deployment.runFor(std::chrono::milliseconds(4000));
    LONGS_EQUAL(503, deployment.ask(1, PlatformDeployment::call("GET", "/safe/x", "r2"))->status);
}

TEST(WholePlatform, aDeploymentThatStartsAgainWithoutTheStoreServesByWhatLiesOnItsDisks)
{
    PlatformDeployment deployment;
    deployment.ask(0, PlatformDeployment::turn("t1", "", "one "));
    deployment.runFor(std::chrono::milliseconds(1200));
    deployment.store.setTrouble(StoreTrouble::Silent);
    for (std::size_t i = 0; i < 3; ++i) {
        deployment.killTurnStore(i);
    }
    for (std::size_t i = 0; i < 3; ++i) {
        deployment.startTurnStore(i, false);
    }
    deployment.restartEntry(0);
    deployment.runFor(std::chrono::milliseconds(800));
    LONGS_EQUAL(200, deployment.ask(0, PlatformDeployment::turn("t2", previous("t1"), "two"))->status);
    STRCMP_EQUAL("one t1.1\nt1.2\nt1.3\ntwo", deployment.model.arrivals().back().body.c_str());
}

TEST(WholePlatform, anEntryThatCannotKeepTurnsMovesItsCallersAway)
{
    PlatformDeployment deployment;
    CHECK(deployment.isReady(0));
    const auto kept = deployment.ask(0, PlatformDeployment::call("GET", "/safe/x", "r1"));
    CHECK(kept->connection->isReusable());
    deployment.killTurnStore(0);
    deployment.killTurnStore(1);
    LONGS_EQUAL(503, deployment.ask(0, PlatformDeployment::turn("t1", budget, "x"))->status);
    CHECK_FALSE(deployment.isReady(0));
    const auto next = deployment.askAgain(kept, PlatformDeployment::call("GET", "/safe/x", "r2"));
    LONGS_EQUAL(200, next->status);
    CHECK(next->headers.find("Connection") == std::string_view("close"));
    deployment.startTurnStore(0, false);
    deployment.runFor(std::chrono::milliseconds(800));
    CHECK(deployment.isReady(0));
}

TEST(WholePlatform, aTurnStoreWithANewDiskTakesItsPlaceAgainAndThenBearsTheLossOfAnother)
{
    PlatformDeployment deployment;
    deployment.ask(0, PlatformDeployment::turn("t1", budget, "one "));
    deployment.killTurnStore(2);
    deployment.ask(0, PlatformDeployment::turn("t2", budget + previous("t1"), "two "));
    deployment.startTurnStore(2, true);
    // The registration of the earlier disk conflicts with the new one.
    CHECK(deployment.runUntil([&] {
        return deployment.isGroupSteady(3);
    }));
    CHECK(deployment.store.conflicts() > 0);
    deployment.killTurnStore(0);
    deployment.restartEntry(1);
    LONGS_EQUAL(200, deployment.ask(1, PlatformDeployment::turn("t3", budget + previous("t2"), "three"))->status);
    STRCMP_EQUAL("one t1.1\nt1.2\nt1.3\ntwo t2.1\nt2.2\nt2.3\nthree", deployment.model.arrivals().back().body.c_str());
    LONGS_EQUAL(402, deployment.ask(1, PlatformDeployment::turn("t4", budget, "x"))->status);
}

TEST(WholePlatform, aSpareTurnStoreTakesThePlaceOfALostOne)
{
    PlatformDeployment deployment(4);
    deployment.ask(0, PlatformDeployment::turn("t1", "", "one "));
    deployment.killTurnStore(1);
    CHECK(deployment.runUntil([&] {
        return deployment.isGroupSteady(3);
    }));
    deployment.killTurnStore(0);
    deployment.restartEntry(1);
    LONGS_EQUAL(200, deployment.ask(1, PlatformDeployment::turn("t2", previous("t1"), "two"))->status);
}

TEST(WholePlatform, aGroupWriteWhoseAnswerIsLostTakesEffectOnce)
{
    PlatformDeployment deployment(4);
    deployment.store.loseAnswers(1);
    deployment.killTurnStore(1);
    CHECK(deployment.runUntil([&] {
        return deployment.isGroupSteady(3);
    }));
    LONGS_EQUAL(200, deployment.ask(0, PlatformDeployment::turn("t1", "", "x"))->status);
}

TEST(WholePlatform, aRetiredTurnStoreIsEmptiedFirst)
{
    PlatformDeployment deployment;
    deployment.ask(0, PlatformDeployment::turn("t1", "", "one "));
    deployment.store.put("op/retire/store-0", "{\"duration_s\":10}");
    CHECK(deployment.runUntil([&] {
        return deployment.store.value("status/retire/store-0").find("completed") != std::string::npos;
    }));
    deployment.killTurnStore(0);
    deployment.restartEntry(1);
    LONGS_EQUAL(200, deployment.ask(1, PlatformDeployment::turn("t2", previous("t1"), "two"))->status);
    STRCMP_EQUAL("one t1.1\nt1.2\nt1.3\ntwo", deployment.model.arrivals().back().body.c_str());
}

TEST(WholePlatform, badRequestsEndOnlyTheirOwnConnection)
{
    PlatformDeployment deployment;
    const std::string both = "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: s\r\nContent-Length: 4\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    LONGS_EQUAL(400, deployment.ask(0, both)->status);
    LONGS_EQUAL(400, deployment.ask(0, "GET /safe/x HTTP/1.1\r\nHost: h\r\n\r\n")->status);
    LONGS_EQUAL(400, deployment.ask(0, "NOTHING\r\n\r\n")->status);
    LONGS_EQUAL(413,
                deployment
                    .ask(0,
                         "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: b\r\n"
                         "Content-Length: 100001\r\n\r\n")
                    ->status);
    LONGS_EQUAL(
        431,
        deployment
            .ask(0, PlatformDeployment::call("GET", "/safe/x", "h", "X-Long: " + std::string(17'000, 'x') + "\r\n"))
            ->status);
    LONGS_EQUAL(0, deployment.toolOne.runs() + deployment.toolTwo.runs());
    LONGS_EQUAL(200, deployment.ask(0, PlatformDeployment::call("GET", "/safe/x", "r1"))->status);
}
