#include "placement/suspecttable.h"

#include <algorithm>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace briarhinge;
using namespace briarhinge::placement;

namespace
{

const SteadyTime start = SteadyTime(std::chrono::hours(1));

CrashedRequest request(const std::string &digest)
{
    return {base::Digest(digest), 10, false};
}

RequestContent prompt(std::string_view target, std::string_view history, std::string_view input)
{
    return {target, history, input, true};
}

}

TEST_GROUP(SuspectTable)
{
    /** Records that a runner crashed while requests were running on it. */
    void crash(const std::string &runner, std::vector<CrashedRequest> requests)
    {
        table.recordCrash({{runner, 0, 0}, std::move(requests)}, start);
    }

    SuspectVerdict admit(const std::string &name)
    {
        return table.admit(base::Digest(name), start);
    }

    SuspectTable table{{2, 3, base::Milliseconds(1000)}};
    const base::Digest digest{"a"};
};

TEST(SuspectTable, quarantinesAtTheLimit)
{
    CHECK(SuspectVerdict::Clear == admit("a"));
    crash("runner-0", {request("a")});
    CHECK(SuspectVerdict::RunAlone == admit("a"));
    CHECK(SuspectVerdict::Wait == admit("a"));
    const auto quarantined = table.recordCrash({{"runner-1", 0, 0}, {request("a")}}, start);
    LONGS_EQUAL(1, quarantined.size());
    CHECK(SuspectVerdict::Quarantined == admit("a"));
    CHECK(table.isQuarantined(digest));
}

// Guards against counting one crash for each entry that reports it, and for each message that is sent again.
TEST(SuspectTable, countsOneCrashOnceWhoeverReportsItAndHoweverOften)
{
    crash("runner-0", {request("a")});
    crash("runner-0", {request("a"), request("b")});
    LONGS_EQUAL(1, table.crashCount(digest));
    CHECK(SuspectVerdict::RunAlone == admit("a"));
}

// Guards against taking the crash of a runner that is back under its id for the one before.
TEST(SuspectTable, countsEachIncarnationAndEachCrashOfAnUnknownOne)
{
    const CrashId first = table.nextCrash("runner-0", 100);
    table.recordCrash({first, {request("a")}}, start);
    const CrashId again = table.nextCrash("runner-0", 100);
    CHECK(first != again);
    CHECK(table.nextCrash("runner-0", 200) == (CrashId{"runner-0", 200, 0}));
    table.recordCrash({again, {request("a")}}, start);
    CHECK(table.isQuarantined(digest));
}

TEST(SuspectTable, clearsOneThatSurvivedItsTrial)
{
    crash("runner-0", {request("a")});
    admit("a");
    table.endTrial(digest, true);
    CHECK(SuspectVerdict::Clear == admit("a"));
}

// Guards against refusing a common request that completes between crashes with other causes.
TEST(SuspectTable, aLateReportOfAClearedCrashDoesNotCount)
{
    crash("runner-0", {request("a")});
    table.endTrial(digest, true);
    crash("runner-0", {request("a")});
    crash("runner-1", {request("a")});
    CHECK(SuspectVerdict::RunAlone == admit("a"));
    LONGS_EQUAL(1, table.crashCount(digest));
}

TEST(SuspectTable, keepsOneWhoseTrialDidNotRun)
{
    crash("runner-0", {request("a")});
    admit("a");
    table.endTrial(digest, false);
    CHECK(SuspectVerdict::RunAlone == admit("a"));
}

TEST(SuspectTable, requestsWaitWhileACrashIsConfirmed)
{
    table.beginTrial(request("a"), start);
    CHECK(SuspectVerdict::Wait == admit("a"));
    table.endTrial(digest, false);
    CHECK(SuspectVerdict::Clear == admit("a"));
    CHECK(table.isEmpty());
}

// Guards against quarantining requests that shared their runners with the one that crashes them.
TEST(SuspectTable, crashesOfAQuarantinedRequestDoNotCountForOthers)
{
    crash("runner-0", {request("a"), request("b")});
    crash("runner-1", {request("a")});
    CHECK(table.isQuarantined(digest));
    CHECK(SuspectVerdict::Clear == admit("b"));
    // Another entry had "b" on the second runner, too, and reports it later.
    crash("runner-1", {request("b")});
    CHECK(SuspectVerdict::Clear == admit("b"));
}

TEST(SuspectTable, requestsThatReachTheLimitTogetherAreAllQuarantined)
{
    crash("runner-0", {request("a"), request("b")});
    crash("runner-1", {request("a"), request("b")});
    CHECK(table.isQuarantined(base::Digest("a")));
    CHECK(table.isQuarantined(base::Digest("b")));
}

TEST(SuspectTable, quarantinesPromptsThatBeginWithAQuarantinedOne)
{
    table.quarantine(crashedRequest(prompt("small", "", "bad")), start);
    CHECK(SuspectVerdict::Quarantined == table.admit(prompt("small", "", "bad and more"), start));
    CHECK(SuspectVerdict::Quarantined == table.admit(prompt("small", "ba", "d and more"), start));
    CHECK(SuspectVerdict::Quarantined == table.admit(prompt("small", "bad", " and more"), start));
    CHECK(table.remainingQuarantine(prompt("small", "bad", ""), start) == base::Milliseconds(1000));
    CHECK(SuspectVerdict::Clear == table.admit(prompt("small", "", "ba"), start));
    CHECK(SuspectVerdict::Clear == table.admit(prompt("small", "", "good and more"), start));
    CHECK(SuspectVerdict::Clear == table.admit(prompt("large", "", "bad and more"), start));
}

// Guards against a limit on the number of lengths: a 65th quarantined prompt was not recognised in longer ones.
TEST(SuspectTable, quarantinesPromptsThatBeginWithAnyOfManyQuarantinedOnes)
{
    constexpr std::size_t count = 200;
    SuspectTable many{{2, count, base::Milliseconds(1000)}};
    for (std::size_t size = 1; size <= count; ++size) {
        many.quarantine(crashedRequest(prompt("small", "", std::string(size, static_cast<char>('a' + size % 7)))),
                        start);
    }
    const std::string longest = std::string(count, static_cast<char>('a' + count % 7)) + " and more";
    CHECK(SuspectVerdict::Quarantined == many.admit(prompt("small", "", longest), start));
}

TEST(SuspectTable, aCallIsNoPrefixOfAnother)
{
    const RequestContent bad{"POST h/x", {}, "bad", false};
    table.quarantine(crashedRequest(bad), start);
    CHECK(SuspectVerdict::Quarantined == table.admit(bad, start));
    CHECK(SuspectVerdict::Clear == table.admit(RequestContent{"POST h/x", {}, "bad and more", false}, start));
    CHECK(table.remainingQuarantine(bad, start) == base::Milliseconds(1000));
}

TEST(SuspectTable, anEmptyPromptIsNoPrefixOfOthers)
{
    table.quarantine(crashedRequest(prompt("small", "", "")), start);
    CHECK(SuspectVerdict::Clear == table.admit(prompt("small", "", "good"), start));
}

TEST(SuspectTable, forgetsAfterTheRetentionTime)
{
    table.quarantine(request("a"), start);
    CHECK(table.remainingQuarantine(digest, start + base::Milliseconds(400)) == base::Milliseconds(600));
    CHECK(SuspectVerdict::Clear == table.admit(digest, start + base::Milliseconds(1000)));
    CHECK(table.isEmpty());
}

// Guards against growth under a flood of different requests, and against one that pushes out what is quarantined.
TEST(SuspectTable, remembersABoundedNumberAndQuarantinedRequestsLongest)
{
    table.quarantine(request("a"), start);
    for (int i = 0; i < 100; ++i) {
        crash("runner-" + std::to_string(i), {request("b" + std::to_string(i))});
    }
    CHECK(SuspectVerdict::Quarantined == admit("a"));
    CHECK(SuspectVerdict::Clear == admit("b0"));
    CHECK(SuspectVerdict::RunAlone == admit("b99"));
    LONGS_EQUAL(4, table.size());
    for (int i = 0; i < 100; ++i) {
        table.quarantine(request("c" + std::to_string(i)), start);
    }
    CHECK(SuspectVerdict::Clear == admit("a"));
    // Three suspects and three quarantined requests at most.
    CHECK(table.size() <= 6);
}

// Guards against an entry that starts without what the others know.
TEST(SuspectTable, reportsHoldAllThatIsNeededToDecideAlike)
{
    crash("runner-0", {request("a"), request("b")});
    crash("runner-1", {request("a")});
    SuspectTable other{{2, 3, base::Milliseconds(1000)}};
    for (const CrashReport &report : table.reports()) {
        other.recordCrash(report, start);
    }
    CHECK(other.isQuarantined(digest));
    CHECK(SuspectVerdict::Clear == other.admit(base::Digest("b"), start));
}
