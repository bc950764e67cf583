#include "core/step.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace briarhinge;
using namespace briarhinge::core;

namespace
{

const base::Timestamp start{base::Milliseconds(1'000)};

KindPolicy policy()
{
    KindPolicy kind;
    kind.budget = {base::Tokens(10'000), base::MicroMoney(100), 10};
    kind.wallTime = base::Milliseconds(60'000);
    return kind;
}

CallRequest toolCall(std::uint32_t number, const std::optional<base::Digest> &extends)
{
    CallRequest request;
    request.number = base::CallNumber(number);
    request.kind = CallKind::Tool;
    request.target = base::TargetName("charge");
    request.input = "12 pouches";
    request.idempotent = false;
    request.extends = extends;
    return request;
}

template <class Kind>
const Kind *firstAction(const std::vector<Action> &actions)
{
    for (const Action &action : actions) {
        if (const auto *kind = std::get_if<Kind>(&action)) {
            return kind;
        }
    }
    return nullptr;
}

}

TEST_GROUP(Step)
{
    ProgramTree tree;
    const base::ProgramId id{"order-1"};

    void setup() override
    {
        step(tree, OpenProgram{{id, base::KindName("chat"), base::AccountId("huye"), std::nullopt}, policy()}, start);
    }

    std::vector<Action> startCall(const CallRequest &request)
    {
        return step(tree, StartCall{id, request}, start);
    }
};

TEST(Step, NonIdempotentCallIsDispatchedOnlyOnceItsClaimIsDurable)
{
    const auto started = startCall(toolCall(1, std::nullopt));
    CHECK(firstAction<DispatchCall>(started) == nullptr);
    const auto *stored = firstAction<StoreBeforeDispatch>(started);
    CHECK(stored != nullptr);
    CHECK(std::holds_alternative<CallClaimed>(stored->records.back()));
    CHECK(firstAction<DispatchCall>(step(tree, CallStored{id, base::CallNumber(1)}, start)) != nullptr);
}

TEST(Step, CallWhoseClaimCouldNotBeStoredWasNotRunAndMayBeAskedAgain)
{
    startCall(toolCall(1, std::nullopt));
    const auto ended = step(tree, CallNotStored{id, base::CallNumber(1), "outage", base::Milliseconds(500)}, start);
    const auto *finished = firstAction<FinishCall>(ended);
    CHECK(finished != nullptr);
    CHECK(std::holds_alternative<NotRun>(finished->outcome));
    CHECK(firstAction<StoreBeforeDispatch>(startCall(toolCall(1, std::nullopt))) != nullptr);
}

TEST(Step, SameCallAskedAgainJoinsAndThenGetsTheStoredAnswer)
{
    startCall(toolCall(1, std::nullopt));
    CHECK(firstAction<JoinCall>(startCall(toolCall(1, std::nullopt))) != nullptr);
    step(tree, CallStored{id, base::CallNumber(1)}, start);
    step(tree, CallEnded{id, base::CallNumber(1), Completed{"charged", {}}}, start);
    const auto again = startCall(toolCall(1, std::nullopt));
    LONGS_EQUAL(1, again.size());
    CHECK(firstAction<AnswerNow>(again)->outcome == Outcome(Completed{"charged", {}}));
}

TEST(Step, AnotherBodyUnderAUsedNumberIsRefused)
{
    startCall(toolCall(1, std::nullopt));
    CallRequest other = toolCall(1, std::nullopt);
    other.input = "13 pouches";
    CHECK(firstAction<Refuse>(startCall(other))->code == RefusalCode::CallDiffers);
}

TEST(Step, CallOutOfOrderIsRefused)
{
    CHECK(firstAction<Refuse>(startCall(toolCall(2, std::nullopt)))->code == RefusalCode::CallOutOfOrder);
}

TEST(Step, CallThatExtendsAnotherHistoryIsRefused)
{
    startCall(toolCall(1, std::nullopt));
    step(tree, CallStored{id, base::CallNumber(1)}, start);
    step(tree, CallEnded{id, base::CallNumber(1), Completed{"charged", {}}}, start);
    const auto refused = startCall(toolCall(2, emptyHistory(base::ProgramId("order-2"))));
    CHECK(firstAction<Refuse>(refused)->code == RefusalCode::HistoryDiffers);
}

TEST(Step, CallBeyondTheBudgetIsNotRun)
{
    CallRequest expensive = toolCall(1, std::nullopt);
    expensive.maxCost = base::MicroMoney(101);
    const auto *answer = firstAction<AnswerNow>(startCall(expensive));
    CHECK(answer != nullptr);
    CHECK(std::holds_alternative<NotRun>(answer->outcome));
    CHECK(!std::get<NotRun>(answer->outcome).retryAfter.has_value());
}

TEST(Step, FirstModelCallNeedsNoWriteOfItsOwnOnceTheOpeningIsDurable)
{
    step(tree, OpeningStored{id}, start);
    CallRequest request;
    request.number = base::CallNumber(1);
    request.target = base::TargetName("small");
    request.input = "hello";
    request.maxTokens = base::Tokens(100);
    CHECK(firstAction<DispatchCall>(startCall(request)) != nullptr);
}

TEST(Step, EndedProgramReleasesWhatEnginesHold)
{
    CHECK(firstAction<ReleaseProgram>(step(tree, EndProgram{id}, start)) != nullptr);
    CHECK(firstAction<Refuse>(startCall(toolCall(1, std::nullopt)))->code == RefusalCode::ProgramHasEnded);
}

TEST(Step, ClaimOfADeadOwnerBecomesUnknown)
{
    ProgramTree replayed;
    replay(replayed, ProgramOpened{tree.programs.at(id).spec, policy(), start, {}});
    replay(replayed, CallClaimed{id, toolCall(1, std::nullopt)});
    LONGS_EQUAL(1, finishReplay(replayed).size());
    const auto again = step(replayed, StartCall{id, toolCall(1, std::nullopt)}, start);
    CHECK(std::holds_alternative<Unknown>(firstAction<AnswerNow>(again)->outcome));
}

TEST(Step, GrantsThatWaitTogetherDoNotExceedTheLimit)
{
    const base::ProgramId child{"order-1.refund"};
    step(tree, OpenProgram{{child, base::KindName("chat"), base::AccountId("huye"), id}, policy()}, start);
    for (const base::ProgramId &program : {id, child}) {
        CallRequest call = toolCall(1, std::nullopt);
        call.maxCost = base::MicroMoney(45);
        step(tree, StartCall{program, call}, start);
    }
    step(tree, CallStored{id, base::CallNumber(1)}, start);
    step(tree, CallStored{child, base::CallNumber(1)}, start);
    CHECK(fitsIn(tree.budget.granted(), tree.budget.limit()));
}

TEST(Step, WithdrawalOfAClaimThatNeverWasDurableFitsTheLog)
{
    startCall(toolCall(1, std::nullopt));
    const auto ended = step(tree, CallNotStored{id, base::CallNumber(1), "outage", base::Milliseconds(500)}, start);
    ProgramTree replayed;
    replay(replayed, ProgramOpened{tree.programs.at(id).spec, policy(), start, {}});
    CHECK(replay(replayed, firstAction<StoreDeferred>(ended)->record));
}

TEST(Step, WithdrawalNeverTakesAFinishedCallOutOfTheHistory)
{
    ProgramTree replayed;
    replay(replayed, ProgramOpened{tree.programs.at(id).spec, policy(), start, {}});
    replay(replayed, TurnFinished{id, toolCall(1, std::nullopt), Completed{"charged", {}}});
    CHECK_FALSE(replay(replayed, ClaimWithdrawn{id, base::CallNumber(1)}));
    LONGS_EQUAL(1, replayed.programs.at(id).calls.size());
}

TEST(Step, OwnersThatDieBeforeTheOpeningIsDurableDoNotSpendTheFirstGrantAgainAndAgain)
{
    const ProgramSpec spec{id, base::KindName("chat"), base::AccountId("huye"), std::nullopt};
    KindPolicy kind = policy();
    kind.budget.calls = 8;
    std::uint32_t dispatched = 0;
    for (std::uint32_t owner = 0; owner < 2 * kind.budget.calls; ++owner) {
        ProgramTree fresh;
        step(fresh, OpenProgram{spec, kind}, start);
        CallRequest call = toolCall(1, std::nullopt);
        call.idempotent = true;
        dispatched += firstAction<DispatchCall>(step(fresh, StartCall{id, call}, start)) == nullptr ? 0 : 1;
    }
    CHECK(dispatched <= kind.budget.calls);
}
