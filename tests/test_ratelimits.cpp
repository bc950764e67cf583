#include "dispatch/ratelimits.h"
#include "platform/wireformat.h"
#include "scripteddeployment.h"

#include <algorithm>
#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace briarhinge;
using namespace briarhinge::tests;
using dispatch::RateStatement;
using requests::RequestRate;
using standins::platform::AnswerEnding;
using standins::platform::ScriptedAnswer;

namespace
{

using Time = RateStatement::Time;

const dispatch::RunnerId one{"one"};
const dispatch::RunnerId two{"two"};
const Time start = Time{} + std::chrono::hours(1);

Time at(int milliseconds)
{
    return start + std::chrono::milliseconds(milliseconds);
}

RateStatement says(std::optional<double> limit, int earliest, int latest, std::uint64_t startedAt = 1)
{
    return {startedAt, limit ? std::optional(RequestRate(*limit)) : std::nullopt, at(earliest), at(latest)};
}

std::optional<requests::StatedRate> stated(unsigned status, const std::vector<std::string> &values)
{
    http::ResponseHead head;
    head.status = status;
    for (const std::string &value : values) {
        head.headers.add("server-limit", value);
    }
    return platform::WireFormat::decodeResponse(head).statedRate;
}

bool isLimit(double expected, const std::optional<requests::StatedRate> &rate)
{
    return rate && rate->limit && rate->limit->value() == expected;
}

/** Answers of a tool that names a limit. */
std::string toolAnswer(const std::string &status, const std::string &limit, const std::string &fields = {})
{
    return "HTTP/1.1 " + status + "\r\nX-Request-Id: {id}\r\nX-Server-Stamp: s\r\n" + fields
        + (limit.empty() ? "" : "Server-Limit: " + limit + "\r\n") + "Content-Length: 0\r\n\r\n";
}

/** A tool runner with a limit, and the times at which it got requests. */
struct LimitedTool
{
    explicit LimitedTool(std::string answerText)
        : answer(std::move(answerText))
        , deployment({}, [this](const std::string &) {
            arrivals.push_back(std::chrono::steady_clock::now());
            return ScriptedAnswer{{answer}, AnswerEnding::KeepOpen};
        })
    {
    }

    /** Sends calls to both entries in turn. @return the answers by status */
    std::map<unsigned, int> sendCalls(int count, std::chrono::milliseconds interval)
    {
        std::map<unsigned, int> statuses;
        for (int i = 0; i < count; ++i) {
            const std::string id = "c" + std::to_string(number++);
            const auto exchange = deployment.sendAndWait(i % PlatformDeployment::entryCount,
                                                         PlatformDeployment::call("GET", "/safe/x", id));
            ++statuses[exchange->status];
            hasRetryDelays = hasRetryDelays && (exchange->status != 503 || exchange->headers.find("Retry-After"));
            deployment.runFor(interval);
        }
        return statuses;
    }

    /** @return the requests that the runner got within the last four seconds */
    int recentArrivals() const
    {
        const Time end = std::chrono::steady_clock::now();
        return static_cast<int>(std::count_if(arrivals.begin(), arrivals.end(), [end](Time time) {
            return end - time < std::chrono::seconds(4);
        }));
    }

    std::string answer;
    std::deque<Time> arrivals;
    int number = 0;
    bool hasRetryDelays = true;
    ScriptedDeployment deployment;
};

/** Most requests in four seconds by the users' rule: one and a half times the limit, and five. */
int mostInFourSeconds(double limit)
{
    return static_cast<int>(1.5 * limit * 4) + 5;
}

}

TEST_GROUP(RateLimits)
{
    dispatch::RateLimits limits;

    double limitOf(const dispatch::RunnerId &id) const
    {
        const auto limit = limits.limit(id);
        return limit ? limit->value() : -1;
    }
};

TEST(RateLimits, aFieldThatIsNoNumberSaysNothingAndTheLowestOfSeveralHolds)
{
    CHECK(isLimit(7.2, stated(200, {"7.2"})));
    CHECK(isLimit(0, stated(503, {"0"})));
    CHECK(isLimit(3, stated(200, {"9", "3", "x"})));
    CHECK(stated(200, {}).has_value());
    CHECK_FALSE(stated(200, {})->limit.has_value());
    for (const std::string text : {"", "x", "-1", "nan", "inf", "1 2", "7,2"}) {
        CHECK_FALSE(stated(200, {text}).has_value());
    }
    // Another runner has the address now.
    CHECK_FALSE(stated(421, {"5"}).has_value());
    CHECK_FALSE(stated(421, {}).has_value());
}

TEST(RateLimits, aRunnerThatNeverNamedALimitIsNotRemembered)
{
    CHECK_FALSE(limits.record(one, says(std::nullopt, 0, 10)));
    CHECK(limits.statements().empty());
    CHECK(limits.record(one, says(7, 0, 10)));
    CHECK_FALSE(limits.record(one, says(7, 20, 30)));
    DOUBLES_EQUAL(7, limitOf(one), 0);
    DOUBLES_EQUAL(-1, limitOf(two), 0);
}

// Guards against a limit that is taken for ended because of an answer that overtook the one which names it.
TEST(RateLimits, onlyAnAnswerToALaterRequestRaisesOrEndsALimit)
{
    limits.record(one, says(7, 0, 100));
    CHECK_FALSE(limits.record(one, says(std::nullopt, 50, 150)));
    CHECK_FALSE(limits.record(one, says(9, 99, 150)));
    DOUBLES_EQUAL(7, limitOf(one), 0);
    CHECK(limits.record(one, says(9, 100, 160)));
    CHECK(limits.record(one, says(std::nullopt, 160, 170)));
    DOUBLES_EQUAL(-1, limitOf(one), 0);
    // An answer from before the end that arrives after it.
    CHECK_FALSE(limits.record(one, says(9, 100, 159)));
    CHECK(limits.record(one, says(9, 100, 165)));
    DOUBLES_EQUAL(9, limitOf(one), 0);
}

TEST(RateLimits, aLowerLimitHoldsAtOnce)
{
    limits.record(one, says(7, 0, 100));
    CHECK(limits.record(one, says(3, 50, 110)));
    DOUBLES_EQUAL(3, limitOf(one), 0);
    CHECK_FALSE(limits.record(one, says(1, -20, -10)));
    DOUBLES_EQUAL(3, limitOf(one), 0);
}

TEST(RateLimits, aLaterStartHasSaidNothingYet)
{
    limits.record(one, says(7, 0, 100, 5));
    limits.recordRegistration(one, 5);
    DOUBLES_EQUAL(7, limitOf(one), 0);
    limits.recordRegistration(one, 6);
    DOUBLES_EQUAL(-1, limitOf(one), 0);
    limits.record(one, says(4, 200, 300, 6));
    CHECK_FALSE(limits.record(one, says(2, 200, 300, 5)));
    DOUBLES_EQUAL(4, limitOf(one), 0);
    limits.recordRegistration(one, 7);
    CHECK(limits.statements().empty());
}

TEST(RateLimits, memoryIsBounded)
{
    dispatch::RateLimits few(10);
    for (int i = 0; i < 1000; ++i) {
        few.record(dispatch::RunnerId("r" + std::to_string(i)), says(7, i, i));
    }
    LONGS_EQUAL(10, few.statements().size());
    CHECK(few.limit(dispatch::RunnerId("r999")).has_value());
}

// Guards against a runner that names a limit and gets what its callers ask for all the same, over all entries.
TEST(RateLimits, aRunnerWithALimitGetsNoMoreFromAllEntriesTogether)
{
    LimitedTool tool(toolAnswer("200 OK", "2"));
    tool.deployment.removeOtherTools();
    tool.sendCalls(10, std::chrono::milliseconds(10));
    const auto statuses = tool.sendCalls(90, std::chrono::milliseconds(40));
    CHECK(tool.recentArrivals() <= mostInFourSeconds(2));
    // It is not starved either, and the others are told when to come back.
    CHECK(tool.recentArrivals() >= 4);
    CHECK(statuses.contains(503) && tool.hasRetryDelays);
}

// Guards against requests that a runner rejects and that are not counted against its limit.
TEST(RateLimits, whatTheRunnerRejectsCounts)
{
    LimitedTool tool(toolAnswer("503 Service Unavailable", "2", "X-Not-Executed: 1\r\n"));
    tool.deployment.removeOtherTools();
    tool.sendCalls(90, std::chrono::milliseconds(40));
    CHECK(tool.recentArrivals() <= mostInFourSeconds(2));
}

// Guards against refusals while other runners have room.
TEST(RateLimits, workGoesToOtherRunnersFirst)
{
    LimitedTool tool(toolAnswer("200 OK", "1"));
    tool.sendCalls(20, std::chrono::milliseconds(10));
    const auto statuses = tool.sendCalls(90, std::chrono::milliseconds(40));
    CHECK(tool.recentArrivals() <= mostInFourSeconds(1));
    LONGS_EQUAL(90, statuses.contains(200) ? statuses.at(200) : 0);
}

// Guards against a runner that stays limited after it has said that it takes any number again.
TEST(RateLimits, theEndOfALimitIsNoticed)
{
    LimitedTool tool(toolAnswer("200 OK", "2"));
    tool.deployment.removeOtherTools();
    tool.sendCalls(40, std::chrono::milliseconds(10));
    tool.answer = toolAnswer("200 OK", "");
    tool.sendCalls(100, std::chrono::milliseconds(40));
    LONGS_EQUAL(40, tool.sendCalls(40, std::chrono::milliseconds(5))[200]);
}
