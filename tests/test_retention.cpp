#include "core/retention.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace briarhinge;
using namespace briarhinge::core;

namespace
{

const base::Timestamp start{base::Milliseconds(1'000)};
constexpr base::Milliseconds wallTime{60'000};
constexpr base::Milliseconds oneMs{1};
constexpr RetentionPolicy policy{base::Milliseconds(10'000), base::Milliseconds(50'000)};

CallRequest modelCall()
{
    CallRequest request;
    request.number = base::CallNumber(1);
    request.target = base::TargetName("small");
    request.input = "hello";
    return request;
}

}

TEST_GROUP(Retention)
{
    ProgramTree tree;
    const base::ProgramId id{"order-1"};

    void setup() override
    {
        KindPolicy kind;
        kind.budget = {base::Tokens(10'000), base::MicroMoney(100), 10};
        kind.wallTime = wallTime;
        step(tree, OpenProgram{{id, base::KindName("chat"), base::AccountId("huye"), std::nullopt}, kind}, start);
    }

    void finishOneCall()
    {
        step(tree, OpeningStored{id}, start);
        step(tree, StartCall{id, modelCall()}, start);
        step(tree, CallEnded{id, base::CallNumber(1), Completed{"answer", {}}}, start);
    }
};

TEST(Retention, ProgramWithinItsWallTimeIsLeftAlone)
{
    const SweepResult result = sweep(tree, policy, start + wallTime);
    CHECK(result.actions.empty());
    CHECK(!result.isExpired);
    CHECK(!tree.programs.at(id).ended);
}

TEST(Retention, AbandonedProgramIsEndedPastItsWallTime)
{
    const SweepResult result = sweep(tree, policy, start + wallTime + oneMs);
    CHECK(tree.programs.at(id).ended);
    bool released = false;
    for (const Action &action : result.actions) {
        released = released || std::holds_alternative<ReleaseProgram>(action);
    }
    CHECK(released);
}

TEST(Retention, ProgramWithACallUnderWayIsNotSwept)
{
    step(tree, StartCall{id, modelCall()}, start);
    sweep(tree, policy, start + 2 * wallTime);
    CHECK(!tree.programs.at(id).ended);
}

TEST(Retention, EndedProgramKeepsItsAnswersAndThenOnlyItsId)
{
    finishOneCall();
    step(tree, EndProgram{id}, start);
    sweep(tree, policy, start);
    sweep(tree, policy, start + policy.maxAnswerAge);
    LONGS_EQUAL(1, tree.programs.at(id).calls.size());
    CHECK(!sweep(tree, policy, start + policy.maxAnswerAge + oneMs).isExpired);
    CHECK(tree.programs.at(id).calls.empty());
    const auto again = step(tree, StartCall{id, modelCall()}, start + policy.maxAnswerAge);
    CHECK(std::get<Refuse>(again.front()).code == RefusalCode::ProgramHasEnded);
    CHECK(sweep(tree, policy, start + policy.maxIdAge + oneMs).isExpired);
}
