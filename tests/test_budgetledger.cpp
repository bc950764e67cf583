#include "turns/budgetledger.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace briarhinge;
using namespace briarhinge::turns;

namespace
{

const base::ProgramId program("p");

BudgetEntry open(const std::string &attempt, std::uint64_t maxTokens)
{
    return {AttemptId(attempt), base::Tokens(maxTokens), false, base::Tokens(0)};
}

BudgetEntry settled(const std::string &attempt, std::uint64_t maxTokens, std::uint64_t spent)
{
    return {AttemptId(attempt), base::Tokens(maxTokens), true, base::Tokens(spent)};
}

BudgetEntries sorted(BudgetEntries entries)
{
    std::sort(entries.begin(), entries.end(), [](const BudgetEntry &left, const BudgetEntry &right) {
        return left.attempt < right.attempt;
    });
    return entries;
}

BudgetEntries anyEntries()
{
    BudgetEntries entries;
    const int count = *rc::gen::inRange(0, 8);
    for (int i = 0; i < count; ++i) {
        // All replicas reserve an attempt with the same maximum.
        const auto name = *rc::gen::inRange(0, 4);
        const auto spent = *rc::gen::inRange<std::uint64_t>(0, 50);
        const BudgetEntry entry =
            *rc::gen::arbitrary<bool>() ? settled(std::to_string(name), 40, spent) : open(std::to_string(name), 40);
        mergeEntries(entries, {entry});
    }
    return entries;
}

}

TEST_GROUP(BudgetLedger){};

TEST(BudgetLedger, anAttemptCountsAsItsMaximumUntilItIsSettled)
{
    BudgetEntries entries{open("a", 60), open("b", 30)};
    CHECK(checkBudget(entries, AttemptId("b"), base::Tokens(90)) == BudgetDecision::Granted);
    CHECK(checkBudget(entries, AttemptId("b"), base::Tokens(89)) == BudgetDecision::Contended);
    mergeEntries(entries, {settled("a", 60, 70)});
    CHECK(checkBudget(entries, AttemptId("b"), base::Tokens(99)) == BudgetDecision::Spent);
}

TEST(BudgetLedger, aReservationThatArrivesLateDoesNotReopenASettledAttempt)
{
    BudgetLedger ledger(base::Milliseconds(1000));
    const BudgetLedger::Time now{};
    ledger.apply(program, settled("a", 0, 20), now);
    ledger.apply(program, open("a", 50), now);
    LONGS_EQUAL(20, ledger.entries(program).front().chargedTokens().value());
}

TEST(BudgetLedger, aProgramExpiresOnceTheRetentionHasPassedSinceItsLastChange)
{
    BudgetLedger ledger(base::Milliseconds(1000));
    const BudgetLedger::Time now{};
    ledger.apply(program, open("a", 50), now);
    ledger.expire(now + base::Milliseconds(1000));
    LONGS_EQUAL(1, ledger.entries(program).size());
    ledger.expire(now + base::Milliseconds(1001));
    LONGS_EQUAL(0, ledger.entries(program).size());
}

// Guards against budgets that nobody counts, and against a count that only grows.
TEST(BudgetLedger, bytesAreThoseOfTheAttemptsThatAreThere)
{
    BudgetLedger ledger(base::Milliseconds(1000));
    const BudgetLedger::Time now{};
    const base::ProgramId longProgram(std::string(10'000, 'p'));
    ledger.apply(longProgram, open("a", 50), now);
    const std::size_t one = ledger.bytes();
    CHECK(one > 10'000);
    LONGS_EQUAL(BudgetLedger::bytesOf(longProgram, AttemptId("a")), one);
    ledger.apply(longProgram, settled("a", 50, 20), now);
    LONGS_EQUAL(one, ledger.bytes());
    ledger.apply(longProgram, open("b", 50), now);
    CHECK(ledger.bytes() > one);
    CHECK(ledger.bytes() < 2 * one);
    ledger.expire(now + base::Milliseconds(1001));
    LONGS_EQUAL(0, ledger.bytes());
}

TEST(BudgetLedger, replicasAgreeWhateverTheOrderOfMerges)
{
    CHECK(rc::check("merge is commutative and idempotent", [] {
        const BudgetEntries one = anyEntries();
        const BudgetEntries other = anyEntries();
        BudgetEntries forward = one;
        mergeEntries(forward, other);
        BudgetEntries backward = other;
        mergeEntries(backward, one);
        mergeEntries(backward, one);
        RC_ASSERT(sorted(forward) == sorted(backward));
    }));
}
