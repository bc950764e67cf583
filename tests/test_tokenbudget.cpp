#include "platformdeployment.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace briarhinge;
using namespace briarhinge::tests;
using standins::platform::Behaviour;

namespace
{

const std::string budget = "X-Token-Budget: 100\r\n";

/** A turn of 30 tokens, of the 40 that it may use at most, on a route that does not store turns. */
std::string draft(const std::string &id, const std::string &fields = budget)
{
    return PlatformDeployment::turn(id, fields, "x", "/draft/x");
}

/** Sends a draft again, as a caller does, while it is refused because the disks of the turn stores are slow. */
unsigned decidedStatus(PlatformDeployment &deployment, std::size_t entry, const std::string &id)
{
    constexpr int maxAttempts = 8;
    unsigned status = 0;
    for (int attempt = 0; attempt < maxAttempts; ++attempt) {
        status = deployment.sendAndWait(entry, draft(id + "-" + std::to_string(attempt)))->status;
        if (status != 503) {
            break;
        }
    }
    return status;
}

}

TEST_GROUP(TokenBudget){};

// Guards against programs without end on a route that stores no turns: their tokens were not counted at all.
TEST(TokenBudget, holdsOverAllEntriesWhereTurnsAreNotStored)
{
    PlatformDeployment deployment;
    LONGS_EQUAL(200, deployment.sendAndWait(0, draft("t1"))->status);
    LONGS_EQUAL(200, deployment.sendAndWait(1, draft("t2"))->status);
    LONGS_EQUAL(200, deployment.sendAndWait(0, draft("t3"))->status);
    LONGS_EQUAL(402, deployment.sendAndWait(1, draft("t4"))->status);
    LONGS_EQUAL(3, deployment.model.executedRequests());
}

TEST(TokenBudget, isOneForAllRoutesOfAProgram)
{
    PlatformDeployment deployment;
    LONGS_EQUAL(200, deployment.sendAndWait(0, PlatformDeployment::turn("t1", budget, "x"))->status);
    LONGS_EQUAL(200, deployment.sendAndWait(1, draft("t2"))->status);
    LONGS_EQUAL(200, deployment.sendAndWait(0, PlatformDeployment::turn("t3", budget, "x"))->status);
    LONGS_EQUAL(402, deployment.sendAndWait(1, draft("t4"))->status);
}

// Guards against tokens of a stream that broke off being given to the program a second time.
TEST(TokenBudget, countsWhatWasHandedOutBeforeAStreamBrokeOff)
{
    PlatformDeployment deployment;
    deployment.model.queueBehaviour(Behaviour::TruncateStream);
    CHECK_FALSE(deployment.sendAndWait(0, draft("t1"))->isComplete);
    // 20 of 100 tokens are spent: two turns of at most 40 fit, a third does not.
    LONGS_EQUAL(200, deployment.sendAndWait(1, draft("t2"))->status);
    LONGS_EQUAL(200, deployment.sendAndWait(1, draft("t3"))->status);
    LONGS_EQUAL(402, deployment.sendAndWait(1, draft("t4"))->status);
}

// Guards against a killed entry whose running turn is forgotten: it counts at its most.
TEST(TokenBudget, countsATurnAtItsMostWhoseEntryWasKilled)
{
    PlatformDeployment deployment;
    deployment.model.queueBehaviour(Behaviour::Hang);
    const auto running = deployment.send(0, draft("t1"));
    CHECK(deployment.runUntil([&deployment] {
        return deployment.model.executedRequests() == 1;
    }));
    deployment.restartEntry(0);
    // 40 of 100 tokens are taken: one turn of at most 40 fits, and after its 30 no other.
    LONGS_EQUAL(200, decidedStatus(deployment, 1, "t2"));
    LONGS_EQUAL(402, decidedStatus(deployment, 0, "t3"));
    LONGS_EQUAL(2, deployment.model.executedRequests());
}

TEST(TokenBudget, ofNothingAllowsNoTurn)
{
    PlatformDeployment deployment;
    LONGS_EQUAL(402, deployment.sendAndWait(0, draft("t1", "X-Token-Budget: 0\r\n"))->status);
    LONGS_EQUAL(0, deployment.model.executedRequests());
}

TEST(TokenBudget, thatIsMissingLimitsNothing)
{
    PlatformDeployment deployment;
    for (int turn = 0; turn < 4; ++turn) {
        LONGS_EQUAL(200, deployment.sendAndWait(0, draft("t" + std::to_string(turn), {}))->status);
    }
}

// Guards against a budget that can't be read being taken for no budget.
TEST(TokenBudget, thatIsNoNumberIsABadRequest)
{
    PlatformDeployment deployment;
    for (const char *value : {"many", "12x", "-1", "", "99999999999999999999999"}) {
        const std::string field = std::string("X-Token-Budget: ") + value + "\r\n";
        LONGS_EQUAL(400, deployment.sendAndWait(0, draft("t1", field))->status);
        LONGS_EQUAL(400, deployment.sendAndWait(0, PlatformDeployment::turn("t2", field, "x"))->status);
    }
    LONGS_EQUAL(0, deployment.model.executedRequests());
}

// Without a quorum nobody knows what the program has used: the turn is not run.
TEST(TokenBudget, thatCannotBeReadRefusesTheTurn)
{
    PlatformDeployment deployment;
    deployment.killTurnStore(0);
    deployment.killTurnStore(1);
    const auto refused = deployment.sendAndWait(0, draft("t1"));
    LONGS_EQUAL(503, refused->status);
    CHECK(refused->headers.find("Retry-After").has_value());
    LONGS_EQUAL(0, deployment.model.executedRequests());
    LONGS_EQUAL(200, deployment.sendAndWait(0, draft("t2", {}))->status);
}
