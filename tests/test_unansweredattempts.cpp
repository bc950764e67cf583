#include "forwarding/unansweredattempts.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace briarhinge;
using namespace briarhinge::forwarding;

namespace
{

using Time = UnansweredAttempts::Time;

constexpr std::uint64_t firstStart = 1'000'000;
constexpr std::uint64_t laterStart = 1'005'000;

wire::Address addressOf(int runner)
{
    return {"127.0.0.1", static_cast<std::uint16_t>(100 + runner)};
}

dispatch::RegisteredRunner registration(const std::string &id, int address, std::uint64_t startedAt,
                                        const std::string &zone = "a")
{
    dispatch::RegisteredRunner runner;
    runner.id = dispatch::RunnerId(id);
    runner.address = addressOf(address);
    runner.zone = base::ZoneName(zone);
    runner.startedAt = startedAt;
    return runner;
}

}

TEST_GROUP(UnansweredAttempts)
{
    /** Lets an attempt at the runner with the given id and address end in silence. */
    void endInSilence(const std::string &id, int address, const std::string &digest,
                      std::uint64_t startedAt = firstStart)
    {
        attempts.record({{id, startedAt, 0}, {base::Digest(digest), 1, false}, addressOf(address)}, now);
    }

    /** @return the crashes that are found within the next seconds */
    std::vector<placement::CrashReport> reportsLater()
    {
        CHECK(attempts.takeReports(now).empty());
        now += std::chrono::seconds(2);
        return attempts.takeReports(now);
    }

    UnansweredAttempts attempts;
    Time now{std::chrono::hours(1)};
};

// Guards against a request without end that crashes one runner after another, each of which falls silent.
TEST(UnansweredAttempts, aRunnerThatStartedAnewHadCrashed)
{
    endInSilence("r0", 0, "x");
    endInSilence("r0", 0, "y");
    endInSilence("r0", 0, "x");
    CHECK(reportsLater().empty());
    attempts.runnerRegistered(registration("r0", 0, laterStart), now);
    const auto reports = reportsLater();
    LONGS_EQUAL(1, reports.size());
    STRCMP_EQUAL("r0", reports[0].crash.runner.c_str());
    CHECK(reports[0].crash.startedAt == firstStart);
    LONGS_EQUAL(2, reports[0].requests.size());
    CHECK(reportsLater().empty());
    LONGS_EQUAL(0, attempts.size());
}

TEST(UnansweredAttempts, aRunnerWithAnotherNameAtItsAddressShowsTheCrashAsWell)
{
    endInSilence("r0", 0, "x");
    attempts.runnerRegistered(registration("r9", 0, laterStart), now);
    const auto reports = reportsLater();
    LONGS_EQUAL(1, reports.size());
    STRCMP_EQUAL("r0", reports[0].crash.runner.c_str());
}

TEST(UnansweredAttempts, aRunnerThatIsRegisteredAsBeforeHasNotCrashed)
{
    endInSilence("r0", 0, "x");
    attempts.runnerRegistered(registration("r0", 0, firstStart), now);
    attempts.runnerRegistered(registration("r1", 1, laterStart), now);
    CHECK(reportsLater().empty());
}

// A runner that was paused or cut off from this entry answers again in the same incarnation.
TEST(UnansweredAttempts, aRunnerThatAnswersALaterRequestHasNotCrashed)
{
    endInSilence("r0", 0, "x");
    attempts.runnerAnswered(dispatch::RunnerId("r0"), firstStart, now + std::chrono::seconds(1));
    attempts.runnerRegistered(registration("r0", 0, laterStart), now);
    CHECK(reportsLater().empty());
}

TEST(UnansweredAttempts, anAnswerToAnEarlierRequestProvesNothing)
{
    endInSilence("r0", 0, "x");
    attempts.runnerAnswered(dispatch::RunnerId("r0"), firstStart, now - std::chrono::seconds(1));
    attempts.runnerRegistered(registration("r0", 0, laterStart), now);
    LONGS_EQUAL(1, reportsLater().size());
}

TEST(UnansweredAttempts, aRunnerThatWasToldToLeaveHasNotCrashed)
{
    endInSilence("r0", 0, "x");
    attempts.runnerLeft(dispatch::RunnerId("r0"));
    attempts.runnerRegistered(registration("r0", 0, laterStart), now);
    CHECK(reportsLater().empty());
}

TEST(UnansweredAttempts, runnersThatStartTogetherWithTheirZoneHaveNotCrashed)
{
    endInSilence("r0", 0, "x");
    attempts.runnerRegistered(registration("r0", 0, laterStart), now);
    attempts.runnerRegistered(registration("r1", 1, laterStart + 300), now);
    CHECK(reportsLater().empty());
    endInSilence("r0", 0, "x", laterStart);
    attempts.runnerRegistered(registration("r0", 0, 2 * laterStart), now);
    attempts.runnerRegistered(registration("r2", 2, 2 * laterStart, "b"), now);
    LONGS_EQUAL(1, reportsLater().size());
}

TEST(UnansweredAttempts, aRequestThatWasRunningOnSeveralRunnersOfAZoneIsReported)
{
    endInSilence("r0", 0, "x");
    endInSilence("r1", 1, "x");
    endInSilence("r1", 1, "y");
    attempts.runnerRegistered(registration("r0", 0, laterStart), now);
    attempts.runnerRegistered(registration("r1", 1, laterStart), now);
    const auto reports = reportsLater();
    LONGS_EQUAL(2, reports.size());
    LONGS_EQUAL(1, reports[0].requests.size());
    LONGS_EQUAL(1, reports[1].requests.size());
}

TEST(UnansweredAttempts, areForgottenAfterAMinuteAndBounded)
{
    endInSilence("r0", 0, "x");
    now += std::chrono::seconds(61);
    attempts.runnerRegistered(registration("r0", 0, laterStart), now);
    attempts.takeReports(now);
    LONGS_EQUAL(0, attempts.size());
    for (int i = 0; i < 10'000; ++i) {
        endInSilence("r0", 0, "d" + std::to_string(i));
    }
    CHECK(attempts.size() <= 512);
}

TEST(UnansweredAttempts, withoutAKnownStartNothingIsConcluded)
{
    endInSilence("r0", 0, "x", 0);
    attempts.runnerRegistered(registration("r0", 0, laterStart), now);
    CHECK(reportsLater().empty());
}
