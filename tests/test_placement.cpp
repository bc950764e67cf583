#include "placement/calllimits.h"
#include "placement/placer.h"
#include "placement/retrybudget.h"
#include "placement/runnerhealth.h"

#include <CppUTest/TestHarness.h>

using namespace briarhinge;
using namespace briarhinge::placement;

namespace
{

const base::ZoneName localZone("rwc-a");
const base::ZoneName otherZone("rwc-b");
constexpr std::size_t manyBlocks = 1000;

PlacementOption optionIn(const base::ZoneName &zone, std::uint32_t load, std::uint64_t cachedTokens = 0,
                         bool isHome = false)
{
    PlacementOption option;
    option.view.zone = zone;
    option.view.reportedLoad = load;
    option.view.concurrencyLimit = 8;
    option.view.meanCallDurationMs = 400;
    option.view.prefillMsPerToken = 0.1;
    option.cachedTokens = base::Tokens(cachedTokens);
    option.isHome = isHome;
    return option;
}

PolicyInput modelCall(std::uint64_t promptTokens)
{
    return {localZone, base::Tokens(promptTokens), true};
}

std::size_t chooseExpected(const PolicyInput &input, const std::vector<PlacementOption> &options)
{
    return ExpectedTime().choose(input, options);
}

Candidate candidateNamed(const std::string &name)
{
    Candidate candidate;
    candidate.view.name = name;
    candidate.view.zone = localZone;
    return candidate;
}

}

TEST_GROUP(ExpectedTime){};

TEST(ExpectedTime, prefersTheNearZoneWhenAllElseIsEqual)
{
    LONGS_EQUAL(1, chooseExpected(modelCall(100), {optionIn(otherZone, 0), optionIn(localZone, 0)}));
}

TEST(ExpectedTime, prefersTheRunnerThatHasTheSharedPrefix)
{
    LONGS_EQUAL(1, chooseExpected(modelCall(2000), {optionIn(localZone, 0), optionIn(otherZone, 0, 1024)}));
}

TEST(ExpectedTime, prefersAnIdleRunnerToAQueueBeforeTheSharedPrefix)
{
    LONGS_EQUAL(0, chooseExpected(modelCall(1100), {optionIn(otherZone, 0), optionIn(localZone, 16, 1024)}));
}

TEST(ExpectedTime, keepsAProgramAtHomeForASmallGain)
{
    LONGS_EQUAL(0, chooseExpected(modelCall(4000), {optionIn(localZone, 9, 3968, true), optionIn(localZone, 0)}));
}

TEST(ExpectedTime, movesAProgramWhenTheGainIsSeveralRefills)
{
    LONGS_EQUAL(1, chooseExpected(modelCall(4000), {optionIn(localZone, 64, 3968, true), optionIn(localZone, 0)}));
}

TEST(ExpectedTime, movesAProgramThatHasNothingCachedAtHomeForAGainAboveTheLeast)
{
    LONGS_EQUAL(1, chooseExpected(modelCall(4000), {optionIn(localZone, 14, 0, true), optionIn(localZone, 0)}));
}

TEST(ExpectedTime, countsOwnCallsSentSinceTheReport)
{
    PlacementOption sentTo = optionIn(localZone, 0);
    sentTo.view.sentSinceReport = 12;
    LONGS_EQUAL(1, chooseExpected(modelCall(100), {sentTo, optionIn(otherZone, 8)}));
}

TEST(ExpectedTime, doesWithoutWhatRunnersDoNotReport)
{
    PlacementOption silent;
    silent.view.zone = localZone;
    CHECK(ExpectedTime().expectedCompletionMs(modelCall(100), silent) > 0);
    LONGS_EQUAL(0, ExpectedTime().expectedQueueWaitMs(silent.view));
}

TEST_GROUP(PlacementBaselines){};

TEST(PlacementBaselines, roundRobinTakesTurns)
{
    RoundRobin policy;
    const std::vector<PlacementOption> options{optionIn(localZone, 0), optionIn(localZone, 0)};
    LONGS_EQUAL(0, policy.choose(modelCall(1), options));
    LONGS_EQUAL(1, policy.choose(modelCall(1), options));
    LONGS_EQUAL(0, policy.choose(modelCall(1), options));
}

TEST(PlacementBaselines, leastOutstandingCountsOnlyOwnCalls)
{
    LeastOutstanding policy;
    PlacementOption own = optionIn(localZone, 0);
    own.view.outstanding = 1;
    LONGS_EQUAL(1, policy.choose(modelCall(1), std::vector{own, optionIn(otherZone, 50)}));
}

TEST(PlacementBaselines, stickyStaysAtHomeWhateverTheQueue)
{
    Sticky policy;
    LONGS_EQUAL(0, policy.choose(modelCall(1), std::vector{optionIn(localZone, 500, 0, true), optionIn(localZone, 0)}));
}

TEST_GROUP(PrefixIndex)
{
    PrefixIndex index{manyBlocks};
    const std::string system = std::string(tokensPerBlock * bytesPerToken * 3, 's');
};

TEST(PrefixIndex, findsTheSharedBeginningOfAnotherPrompt)
{
    index.recordSent("runner-0", prefixChain(system + std::string(4000, 'a')));
    const PrefixChain other = prefixChain(system + std::string(4000, 'b'));
    LONGS_EQUAL(3 * tokensPerBlock, index.cachedTokens("runner-0", other).value());
    LONGS_EQUAL(0, index.cachedTokens("runner-1", other).value());
}

TEST(PrefixIndex, forgetsTheLeastRecentPrefixesOfAnEngineThatHadLess)
{
    const PrefixChain old = prefixChain(std::string(tokensPerBlock * bytesPerToken * 20, 'o'));
    const PrefixChain recent = prefixChain(std::string(tokensPerBlock * bytesPerToken * 20, 'r'));
    index.recordSent("runner-0", old);
    index.recordSent("runner-0", recent);
    index.recordCachedTokens("runner-0", base::Tokens(20 * tokensPerBlock), base::Tokens(0));
    CHECK(index.cachedTokens("runner-0", old) < base::Tokens(20 * tokensPerBlock));
    LONGS_EQUAL(20 * tokensPerBlock, index.cachedTokens("runner-0", recent).value());
}

TEST(PrefixIndex, forgetsARunnerWhoseEngineCrashed)
{
    index.recordSent("runner-0", prefixChain(system));
    index.removeRunner("runner-0");
    LONGS_EQUAL(0, index.cachedTokens("runner-0", prefixChain(system)).value());
}

TEST_GROUP(Placer){};

TEST(Placer, asksForLoadsOnlyBeforeTheFirstCallOfAProgram)
{
    Placer placer(ExpectedTime{}, localZone);
    const std::vector<Candidate> candidates{candidateNamed("runner-0"), candidateNamed("runner-1"),
                                            candidateNamed("runner-2")};
    const PlacementRequest request{base::ProgramId("order-1"), true, base::Tokens(100), {}};
    LONGS_EQUAL(2, placer.probeTargets(request, candidates, 2).size());
    placer.recordSent(request, "runner-1");
    LONGS_EQUAL(0, placer.probeTargets(request, candidates, 2).size());
    CHECK_EQUAL(std::string("runner-1"), placer.place(request, candidates).runner.view.name);
}

TEST(Placer, spreadsNewProgramsOverRunners)
{
    Placer placer(ExpectedTime{}, localZone);
    const std::vector<Candidate> candidates{candidateNamed("runner-0"), candidateNamed("runner-1")};
    const PlacementRequest first{base::ProgramId("order-1"), true, base::Tokens(100), {}};
    const PlacementRequest second{base::ProgramId("order-2"), true, base::Tokens(100), {}};
    const std::string home = placer.place(first, candidates).runner.view.name;
    placer.recordSent(first, home);
    CHECK(placer.place(second, candidates).runner.view.name != home);
    placer.release(first.program);
    CHECK_EQUAL(home, placer.place(second, candidates).runner.view.name);
}

TEST_GROUP(RetryBudget){};

TEST(RetryBudget, allowsAShareOfTheCalls)
{
    RetryBudget budget(0.1, 1);
    CHECK(budget.tryConsume());
    CHECK_FALSE(budget.tryConsume());
    for (int call = 0; call < 9; ++call) {
        budget.callStarted();
    }
    CHECK_FALSE(budget.tryConsume());
    budget.callStarted();
    budget.callStarted();
    CHECK(budget.tryConsume());
}

TEST_GROUP(RunnerHealth)
{
    RunnerHealth health;
    const SteadyTime start = SteadyTime(std::chrono::hours(1));
};

TEST(RunnerHealth, avoidsForATimeThenTriesOneCallAtATime)
{
    CHECK_FALSE(health.isAvoided(start, 5));
    health.recordFailure(start);
    CHECK(health.isAvoided(start, 0));
    const SteadyTime later = health.backoffEnd();
    CHECK_FALSE(health.isAvoided(later, 0));
    CHECK(health.isAvoided(later, 1));
    health.recordProgress();
    CHECK_FALSE(health.isAvoided(later, 1));
}

TEST(RunnerHealth, avoidsLongerAfterEachFailureUpToALimit)
{
    health.recordFailure(start);
    const auto first = health.backoffEnd();
    health.recordFailure(start);
    CHECK(health.backoffEnd() > first);
    for (int failure = 0; failure < 100; ++failure) {
        health.recordFailure(start);
    }
    CHECK(health.backoffEnd() <= start + std::chrono::seconds(5));
}

TEST_GROUP(CallLimits)
{
    CallLimits limits{{2, 2, 3}};

    static CallSource source(const char *account, const char *root, std::int32_t priority = 0)
    {
        return {base::AccountId(account), base::ProgramId(root), priority};
    }
};

TEST(CallLimits, boundsEachAccountAndLetsOthersIn)
{
    CHECK_FALSE(limits.admit(source("huye", "a")).has_value());
    CHECK_FALSE(limits.admit(source("huye", "b")).has_value());
    STRCMP_CONTAINS("\"huye\"", limits.admit(source("huye", "c")).value().c_str());
    CHECK_FALSE(limits.admit(source("kigali", "d")).has_value());
    limits.recordCallEnded(source("huye", "a"));
    CHECK_FALSE(limits.admit(source("huye", "c")).has_value());
}

TEST(CallLimits, boundsEachRootProgram)
{
    CallLimits wide{{10, 2, 10}};
    wide.admit(source("huye", "a"));
    wide.admit(source("huye", "a"));
    STRCMP_CONTAINS("program \"a\"", wide.admit(source("huye", "a")).value().c_str());
}

TEST(CallLimits, refusesTheLowestPriorityFirst)
{
    CallLimits small{{10, 10, 2}};
    small.admit(source("huye", "a", 0));
    small.admit(source("huye", "b", 5));
    CHECK(small.admit(source("huye", "c", 0)).has_value());
    CHECK_FALSE(small.admit(source("huye", "d", 5)).has_value());
    small.recordCallEnded(source("huye", "a", 0));
    CHECK(small.admit(source("huye", "e", 5)).has_value());
}
