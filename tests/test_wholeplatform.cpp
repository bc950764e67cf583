#include "platformdeployment.h"

#include <CppUTest/TestHarness.h>

using namespace briarhinge;
using namespace briarhinge::tests;
using standins::platform::Behaviour;
using standins::platform::StoreFault;

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
    const auto first = deployment.sendAndWait(0, PlatformDeployment::turn("t1", "", "hello "));
    LONGS_EQUAL(200, first->status);
    CHECK(first->isComplete);
    STRCMP_EQUAL("id: 1\ndata: t1.1\n\nid: 2\ndata: t1.2\n\nid: 3\ndata: t1.3\n\n", first->body.c_str());
    CHECK(first->headers.find("X-Server-Stamp").has_value());
    const auto second = deployment.sendAndWait(1, PlatformDeployment::turn("t2", previous("t1"), "again"));
    LONGS_EQUAL(200, second->status);
    STRCMP_EQUAL("hello t1.1\nt1.2\nt1.3\nagain", deployment.model.receivedRequests().back().body.c_str());
    deployment.restartEntry(0);
    deployment.sendAndWait(0, PlatformDeployment::turn("t3", previous("t2"), "!"));
    STRCMP_EQUAL("hello t1.1\nt1.2\nt1.3\nagaint2.1\nt2.2\nt2.3\n!",
                 deployment.model.receivedRequests().back().body.c_str());
}

TEST(WholePlatform, aTurnThatNobodyKnowsIsNotRun)
{
    PlatformDeployment deployment;
    LONGS_EQUAL(404, deployment.sendAndWait(0, PlatformDeployment::turn("t1", previous("none"), "x"))->status);
    LONGS_EQUAL(0, deployment.model.executedRequests());
}

TEST(WholePlatform, withoutAQuorumOfTurnStoresAnUnknownTurnIsAnsweredAsUnavailable)
{
    PlatformDeployment deployment;
    deployment.sendAndWait(0, PlatformDeployment::turn("t1", "", "x"));
    deployment.killTurnStore(0);
    LONGS_EQUAL(200, deployment.sendAndWait(1, PlatformDeployment::turn("t2", previous("t1"), "x"))->status);
    deployment.killTurnStore(1);
    deployment.restartEntry(1);
    const auto unknown = deployment.sendAndWait(1, PlatformDeployment::turn("t3", previous("none"), "x"));
    LONGS_EQUAL(503, unknown->status);
    CHECK(unknown->headers.find("Retry-After").has_value());
}

TEST(WholePlatform, aProgramGetsNoMoreTokensThanItsBudgetThroughAllEntries)
{
    PlatformDeployment deployment;
    // Each turn produces 30 tokens of the 40 that it may use at most.
    LONGS_EQUAL(200, deployment.sendAndWait(0, PlatformDeployment::turn("t1", budget, "x"))->status);
    LONGS_EQUAL(200, deployment.sendAndWait(1, PlatformDeployment::turn("t2", budget, "x"))->status);
    LONGS_EQUAL(200, deployment.sendAndWait(0, PlatformDeployment::turn("t3", budget, "x"))->status);
    LONGS_EQUAL(402, deployment.sendAndWait(1, PlatformDeployment::turn("t4", budget, "x"))->status);
    LONGS_EQUAL(3, deployment.model.executedRequests());
}

TEST(WholePlatform, turnsThatCompeteForTheLastTokensDoNotBothRun)
{
    PlatformDeployment deployment;
    LONGS_EQUAL(200, deployment.sendAndWait(0, PlatformDeployment::turn("t1", budget, "x"))->status);
    deployment.model.setDefaultBehaviour(Behaviour::Hang);
    const auto one = deployment.send(0, PlatformDeployment::turn("t2", budget, "x"));
    const auto other = deployment.send(1, PlatformDeployment::turn("t3", budget, "x"));
    CHECK(deployment.runUntil([&] {
        return one->isFinished || other->isFinished;
    }));
    LONGS_EQUAL(402, one->isFinished ? one->status : other->status);
    CHECK(deployment.model.executedRequests() <= 2);
}

TEST(WholePlatform, aTurnWhoseStreamIsTruncatedIsNotStoredAndItsTokensAreCharged)
{
    PlatformDeployment deployment;
    deployment.model.queueBehaviour(Behaviour::TruncateStream);
    const auto broken = deployment.sendAndWait(0, PlatformDeployment::turn("t1", budget, "x"));
    CHECK_FALSE(broken->isComplete);
    LONGS_EQUAL(1, deployment.model.executedRequests());
    LONGS_EQUAL(404, deployment.sendAndWait(0, PlatformDeployment::turn("t2", previous("t1"), "x"))->status);
    // 20 of 100 tokens are spent: two turns of at most 40 fit, a third does not.
    LONGS_EQUAL(200, deployment.sendAndWait(1, PlatformDeployment::turn("t3", budget, "x"))->status);
    LONGS_EQUAL(200, deployment.sendAndWait(1, PlatformDeployment::turn("t4", budget, "x"))->status);
    LONGS_EQUAL(402, deployment.sendAndWait(1, PlatformDeployment::turn("t5", budget, "x"))->status);
}

TEST(WholePlatform, anIdempotentRequestWhoseAnswerIsLostGoesToAnotherRunner)
{
    PlatformDeployment deployment;
    deployment.toolOne.setDefaultBehaviour(Behaviour::DropAnswer);
    for (int i = 0; i < 6; ++i) {
        const auto exchange =
            deployment.sendAndWait(0, PlatformDeployment::call("GET", "/safe/x", "r" + std::to_string(i)));
        LONGS_EQUAL(200, exchange->status);
    }
    CHECK(deployment.toolOne.executedRequests() > 0);
}

TEST(WholePlatform, aNonIdempotentRequestWhoseAnswerIsLostIsNeverSentAgain)
{
    PlatformDeployment deployment;
    deployment.toolOne.setDefaultBehaviour(Behaviour::DropAnswer);
    deployment.toolTwo.setDefaultBehaviour(Behaviour::DropAnswer);
    const auto exchange =
        deployment.sendAndWait(0, PlatformDeployment::call("POST", "/unsafe/x", "r1", "Content-Length: 0\r\n"));
    LONGS_EQUAL(502, exchange->status);
    LONGS_EQUAL(1, deployment.toolOne.executedRequests() + deployment.toolTwo.executedRequests());
}

TEST(WholePlatform, aSuccessThatNoRunnerSignedIsNotPassedOn)
{
    PlatformDeployment deployment;
    deployment.toolOne.setDefaultBehaviour(Behaviour::OmitStamp);
    deployment.toolTwo.setDefaultBehaviour(Behaviour::OmitStamp);
    const auto exchange =
        deployment.sendAndWait(0, PlatformDeployment::call("POST", "/unsafe/x", "r1", "Content-Length: 0\r\n"));
    LONGS_EQUAL(502, exchange->status);
    STRCMP_EQUAL("", exchange->body.c_str());
}

TEST(WholePlatform, aRunnersRefusalSendsTheRequestElsewhereAndThenBackToTheCaller)
{
    PlatformDeployment deployment;
    deployment.toolOne.setDefaultBehaviour(Behaviour::Reject);
    deployment.toolTwo.queueBehaviour(Behaviour::Serve);
    LONGS_EQUAL(200,
                deployment.sendAndWait(0, PlatformDeployment::call("POST", "/unsafe/x", "r1", "Content-Length: 0\r\n"))
                    ->status);
    deployment.toolTwo.setDefaultBehaviour(Behaviour::Misdirect);
    deployment.runFor(std::chrono::milliseconds(100));
    const auto refused =
        deployment.sendAndWait(0, PlatformDeployment::call("POST", "/unsafe/x", "r2", "Content-Length: 0\r\n"));
    LONGS_EQUAL(503, refused->status);
    CHECK(refused->headers.find("Retry-After").has_value());
    LONGS_EQUAL(1, deployment.toolOne.executedRequests() + deployment.toolTwo.executedRequests());
}

TEST(WholePlatform, aCallerThatLeavesStopsItsRunner)
{
    PlatformDeployment deployment;
    deployment.model.setDefaultBehaviour(Behaviour::Hang);
    const auto exchange = deployment.send(0, PlatformDeployment::turn("t1", "", "x"));
    CHECK(deployment.runUntil([&] {
        return deployment.model.executedRequests() == 1;
    }));
    exchange->connection->close();
    CHECK(deployment.runUntil([&] {
        return deployment.model.receivedRequests().back().isDisconnected;
    }));
}

TEST(WholePlatform, aRequestThatExceedsItsDeadlineIsAnsweredWithATimeout)
{
    PlatformDeployment deployment;
    deployment.toolOne.setDefaultBehaviour(Behaviour::Hang);
    deployment.toolTwo.setDefaultBehaviour(Behaviour::Hang);
    const auto start = std::chrono::steady_clock::now();
    const auto exchange =
        deployment.sendAndWait(0, PlatformDeployment::call("GET", "/safe/x", "r1", "X-Deadline-Remaining: 400\r\n"));
    LONGS_EQUAL(504, exchange->status);
    CHECK(std::chrono::steady_clock::now() - start < std::chrono::milliseconds(900));
}

TEST(WholePlatform, routingAndRunnersStayValidDuringAnOutageOfTheStore)
{
    PlatformDeployment deployment;
    deployment.store.setFault(StoreFault::Unavailable);
    deployment.runFor(std::chrono::milliseconds(500));
    deployment.store.remove("servers/i-tool-1");
    deployment.store.remove("servers/i-tool-2");
    LONGS_EQUAL(200, deployment.sendAndWait(0, PlatformDeployment::call("GET", "/safe/x", "r1"))->status);
    deployment.store.setFault(StoreFault::None);
    deployment.runFor(std::chrono::milliseconds(800));
    // Runners whose keys expired during the outage have time to register again.
    LONGS_EQUAL(200, deployment.sendAndWait(0, PlatformDeployment::call("GET", "/safe/x", "r2"))->status);
    deployment.runFor(std::chrono::milliseconds(2500));
    LONGS_EQUAL(503, deployment.sendAndWait(0, PlatformDeployment::call("GET", "/safe/x", "r3"))->status);
}

TEST(WholePlatform, aRunnerThatLeavesSomeSecondsAfterAnOutageIsGoneAtOnce)
{
    PlatformDeployment deployment;
    deployment.store.setFault(StoreFault::Unavailable);
    deployment.runFor(std::chrono::milliseconds(500));
    deployment.store.setFault(StoreFault::None);
    deployment.runFor(std::chrono::milliseconds(2700));
    deployment.store.remove("servers/i-tool-1");
    deployment.store.remove("servers/i-tool-2");
    deployment.runFor(std::chrono::milliseconds(400));
    LONGS_EQUAL(503, deployment.sendAndWait(0, PlatformDeployment::call("GET", "/safe/x", "r1"))->status);
}

TEST(WholePlatform, changesBeforeTheHistoryWasDiscardedAreSeen)
{
    PlatformDeployment deployment;
    deployment.store.put("servers/i-tool-1", deployment.toolOne.registration("tools", true));
    deployment.store.remove("servers/i-tool-2");
    deployment.store.discardHistory();
    deployment.runFor(std::chrono::milliseconds(900));
    LONGS_EQUAL(503, deployment.sendAndWait(0, PlatformDeployment::call("GET", "/safe/x", "r1"))->status);
}

TEST(WholePlatform, anEntryWithoutRoutingAnswersUnavailableInsteadOfNotFound)
{
    PlatformDeployment deployment(0);
    deployment.runFor(std::chrono::milliseconds(300));
    deployment.store.setFault(StoreFault::Unavailable);
    deployment.restartEntry(0);
    LONGS_EQUAL(503, deployment.sendAndWait(0, PlatformDeployment::call("GET", "/safe/x", "r1"))->status);
    // An entry that knows a routing can't know whether a newer one has the route.
    LONGS_EQUAL(503, deployment.sendAndWait(1, PlatformDeployment::call("GET", "/other/x", "r2"))->status);
    deployment.store.setFault(StoreFault::None);
    int tries = 0;
    CHECK(deployment.runUntil([&deployment, &tries] {
        const std::string id = "s" + std::to_string(++tries);
        return deployment.sendAndWait(1, PlatformDeployment::call("GET", "/other/x", id))->status == 404;
    }));
}

// Guards against a turn on a route that was added meanwhile being denied by an entry that the platform's store turns away.
TEST(WholePlatform, anEntryWithoutTheStoreLearnsOfAnAddedRouteFromTurnStores)
{
    PlatformDeployment deployment;
    deployment.runFor(std::chrono::milliseconds(300));
    std::string added = PlatformDeployment::routing(4);
    const std::string known = "\"/safe/\"";
    CHECK(added.find(known) != std::string::npos);
    added.replace(added.find(known), known.size(), "\"/added/\"");
    deployment.store.put("op/config", added);
    deployment.runFor(std::chrono::milliseconds(900));
    deployment.store.setFault(StoreFault::Unavailable);
    // Its turn stores know version 4; it starts with what they know, as an entry that missed the change would.
    deployment.restartEntry(1);
    deployment.runFor(std::chrono::milliseconds(700));
    LONGS_EQUAL(200, deployment.sendAndWait(1, PlatformDeployment::call("GET", "/added/x", "r1"))->status);
    LONGS_EQUAL(503, deployment.sendAndWait(1, PlatformDeployment::call("GET", "/other/x", "r2"))->status);
}

TEST(WholePlatform, anEntryThatStartsWithoutTheStoreFetchesTheDeploymentFromTurnStores)
{
    PlatformDeployment deployment;
    deployment.sendAndWait(0, PlatformDeployment::turn("t1", "", "one "));
    deployment.store.setFault(StoreFault::Unresponsive);
    deployment.restartEntry(1);
    deployment.runFor(std::chrono::milliseconds(700));
    LONGS_EQUAL(200, deployment.sendAndWait(1, PlatformDeployment::turn("t2", previous("t1"), "two"))->status);
    LONGS_EQUAL(200, deployment.sendAndWait(1, PlatformDeployment::call("GET", "/safe/x", "r1"))->status);
    // Runners that were removed during the outage are dropped once the store is available again.
    deployment.store.remove("servers/i-tool-1");
    deployment.store.remove("servers/i-tool-2");
    deployment.store.setFault(StoreFault::None);
    deployment.runFor(std::chrono::milliseconds(4000));
    LONGS_EQUAL(503, deployment.sendAndWait(1, PlatformDeployment::call("GET", "/safe/x", "r2"))->status);
}

TEST(WholePlatform, aDeploymentThatRestartsWithoutTheStoreServesFromItsDisks)
{
    PlatformDeployment deployment;
    deployment.sendAndWait(0, PlatformDeployment::turn("t1", "", "one "));
    deployment.runFor(std::chrono::milliseconds(1200));
    deployment.store.setFault(StoreFault::Unresponsive);
    for (std::size_t i = 0; i < 3; ++i) {
        deployment.killTurnStore(i);
    }
    for (std::size_t i = 0; i < 3; ++i) {
        deployment.startTurnStore(i, false);
    }
    deployment.restartEntry(0);
    deployment.runFor(std::chrono::milliseconds(800));
    LONGS_EQUAL(200, deployment.sendAndWait(0, PlatformDeployment::turn("t2", previous("t1"), "two"))->status);
    STRCMP_EQUAL("one t1.1\nt1.2\nt1.3\ntwo", deployment.model.receivedRequests().back().body.c_str());
}

TEST(WholePlatform, anEntryThatCannotStoreTurnsClosesCallerConnections)
{
    PlatformDeployment deployment;
    CHECK(deployment.isReady(0));
    const auto kept = deployment.sendAndWait(0, PlatformDeployment::call("GET", "/safe/x", "r1"));
    CHECK(kept->connection->isReusable());
    deployment.killTurnStore(0);
    deployment.killTurnStore(1);
    LONGS_EQUAL(503, deployment.sendAndWait(0, PlatformDeployment::turn("t1", budget, "x"))->status);
    CHECK_FALSE(deployment.isReady(0));
    const auto next = deployment.sendAndWaitOnConnection(kept, PlatformDeployment::call("GET", "/safe/x", "r2"));
    LONGS_EQUAL(200, next->status);
    CHECK(next->headers.find("Connection") == std::string_view("close"));
    deployment.startTurnStore(0, false);
    deployment.runFor(std::chrono::milliseconds(800));
    CHECK(deployment.isReady(0));
}

TEST(WholePlatform, aTurnStoreWithANewDiskRejoinsAndThenTheLossOfAnotherIsTolerated)
{
    PlatformDeployment deployment;
    deployment.sendAndWait(0, PlatformDeployment::turn("t1", budget, "one "));
    deployment.killTurnStore(2);
    deployment.sendAndWait(0, PlatformDeployment::turn("t2", budget + previous("t1"), "two "));
    deployment.startTurnStore(2, true);
    // The registration of the earlier disk conflicts with the new one.
    CHECK(deployment.runUntil([&] {
        return deployment.isGroupStable(3);
    }));
    CHECK(deployment.store.conflicts() > 0);
    deployment.killTurnStore(0);
    deployment.restartEntry(1);
    LONGS_EQUAL(200,
                deployment.sendAndWait(1, PlatformDeployment::turn("t3", budget + previous("t2"), "three"))->status);
    STRCMP_EQUAL("one t1.1\nt1.2\nt1.3\ntwo t2.1\nt2.2\nt2.3\nthree",
                 deployment.model.receivedRequests().back().body.c_str());
    LONGS_EQUAL(402, deployment.sendAndWait(1, PlatformDeployment::turn("t4", budget, "x"))->status);
}

TEST(WholePlatform, aSpareTurnStoreTakesThePlaceOfALostOne)
{
    PlatformDeployment deployment(4);
    deployment.sendAndWait(0, PlatformDeployment::turn("t1", "", "one "));
    deployment.killTurnStore(1);
    CHECK(deployment.runUntil([&] {
        return deployment.isGroupStable(3);
    }));
    deployment.killTurnStore(0);
    deployment.restartEntry(1);
    LONGS_EQUAL(200, deployment.sendAndWait(1, PlatformDeployment::turn("t2", previous("t1"), "two"))->status);
}

TEST(WholePlatform, aGroupWriteWhoseAnswerIsLostTakesEffectOnce)
{
    PlatformDeployment deployment(4);
    deployment.store.dropAnswers(1);
    deployment.killTurnStore(1);
    CHECK(deployment.runUntil([&] {
        return deployment.isGroupStable(3);
    }));
    LONGS_EQUAL(200, deployment.sendAndWait(0, PlatformDeployment::turn("t1", "", "x"))->status);
}

TEST(WholePlatform, aRetiredTurnStoreIsEmptiedFirst)
{
    PlatformDeployment deployment;
    deployment.sendAndWait(0, PlatformDeployment::turn("t1", "", "one "));
    deployment.store.put("op/retire/store-0", "{\"duration_s\":10}");
    CHECK(deployment.runUntil([&] {
        return deployment.store.value("status/retire/store-0").find("completed") != std::string::npos;
    }));
    deployment.killTurnStore(0);
    deployment.restartEntry(1);
    LONGS_EQUAL(200, deployment.sendAndWait(1, PlatformDeployment::turn("t2", previous("t1"), "two"))->status);
    STRCMP_EQUAL("one t1.1\nt1.2\nt1.3\ntwo", deployment.model.receivedRequests().back().body.c_str());
}

// Guards against attempts at one request that end runner after runner, through any entry.
TEST(WholePlatform, aRequestThatCrashesRunnersIsRefusedAtEveryEntryAfterTheThird)
{
    PlatformDeployment deployment;
    deployment.model.setCrashText("crash");
    const std::string request = "crash all of them";
    for (int attempt = 0; attempt < 3; ++attempt) {
        const auto lost = deployment.sendAndWait(static_cast<std::size_t>(attempt % 2),
                                                 PlatformDeployment::turn("t" + std::to_string(attempt), "", request));
        LONGS_EQUAL(502, lost->status);
        CHECK_FALSE(deployment.model.isRunning());
        deployment.runFor(std::chrono::milliseconds(200));
        deployment.model.restart("i-model");
        deployment.store.put("servers/i-model", deployment.model.registration("chat"));
        deployment.runFor(std::chrono::milliseconds(1000));
    }
    for (std::size_t entry = 0; entry < PlatformDeployment::entryCount; ++entry) {
        const std::string id = "again-" + std::to_string(entry);
        const auto refused = deployment.sendAndWait(entry, PlatformDeployment::turn(id, "", request));
        LONGS_EQUAL(503, refused->status);
        CHECK(refused->headers.find("Retry-After").has_value());
        LONGS_EQUAL(200, deployment.sendAndWait(entry, PlatformDeployment::turn("ok-" + id, "", "hello"))->status);
    }
    LONGS_EQUAL(5, deployment.model.executedRequests());
    // Both entries answer, so nothing was written for them.
    STRCMP_EQUAL("", deployment.store.value("briarhinge/crashes/entry-0").c_str());
}

// Guards against refusing a request whose answers were lost while its runner lived on.
TEST(WholePlatform, aRequestWhoseConnectionsAreResetIsServedLater)
{
    PlatformDeployment deployment;
    for (int attempt = 0; attempt < 5; ++attempt) {
        deployment.model.queueBehaviour(Behaviour::DropAnswer);
        LONGS_EQUAL(
            502, deployment.sendAndWait(0, PlatformDeployment::turn("t" + std::to_string(attempt), "", "x"))->status);
        deployment.runFor(std::chrono::milliseconds(400));
    }
    LONGS_EQUAL(200, deployment.sendAndWait(0, PlatformDeployment::turn("t9", "", "x"))->status);
}

TEST(WholePlatform, badRequestsEndOnlyTheirOwnConnection)
{
    PlatformDeployment deployment;
    const std::string both = "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: s\r\nContent-Length: 4\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    LONGS_EQUAL(400, deployment.sendAndWait(0, both)->status);
    LONGS_EQUAL(400, deployment.sendAndWait(0, "GET /safe/x HTTP/1.1\r\nHost: h\r\n\r\n")->status);
    LONGS_EQUAL(400, deployment.sendAndWait(0, "NOTHING\r\n\r\n")->status);
    LONGS_EQUAL(413,
                deployment
                    .sendAndWait(0,
                                 "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: b\r\n"
                                 "Content-Length: 100001\r\n\r\n")
                    ->status);
    LONGS_EQUAL(
        431,
        deployment
            .sendAndWait(
                0, PlatformDeployment::call("GET", "/safe/x", "h", "X-Long: " + std::string(17'000, 'x') + "\r\n"))
            ->status);
    LONGS_EQUAL(0, deployment.toolOne.executedRequests() + deployment.toolTwo.executedRequests());
    LONGS_EQUAL(200, deployment.sendAndWait(0, PlatformDeployment::call("GET", "/safe/x", "r1"))->status);
}
