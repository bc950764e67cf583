#include "runner/callregister.h"

#include <map>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace briarhinge;
using namespace briarhinge::runner;

namespace
{

constexpr base::Milliseconds keepTime{1000};
const base::Timestamp start{base::Milliseconds(10'000)};

CallArrival charge(std::uint32_t number = 1, std::uint64_t term = 0, const std::string &digest = "d")
{
    return {{base::ProgramId("order-1"), base::CallNumber(number)}, digest, base::Term(term), false};
}

template <class Kind>
bool is(const ArrivalVerdict &verdict)
{
    return std::holds_alternative<Kind>(verdict);
}

template <class Kind>
bool isAnswered(const ArrivalVerdict &verdict)
{
    const auto *answered = std::get_if<AnsweredAlready>(&verdict);
    return answered != nullptr && std::holds_alternative<Kind>(answered->outcome);
}

}

TEST_GROUP(CallRegister)
{
    CallRegister calls{keepTime};
};

TEST(CallRegister, secondAskerJoinsARunningCallAndGetsTheStoredOutcome)
{
    CHECK(is<MayRun>(calls.arrive(charge(), start)));
    CHECK(is<JoinsRunning>(calls.arrive(charge(), start)));
    calls.ended(charge().key, core::Completed{"done", {}}, true, start);
    CHECK(isAnswered<core::Completed>(calls.arrive(charge(), start)));
}

TEST(CallRegister, answerOfAnIdempotentCallIsKeptOnlyWhenNobodyHeardIt)
{
    CallArrival model = charge();
    model.idempotent = true;
    calls.arrive(model, start);
    calls.ended(model.key, core::Completed{"hello", {}}, true, start);
    CHECK(is<MayRun>(calls.arrive(model, start)));
    calls.ended(model.key, core::Unknown{"stopped"}, false, start);
    CHECK(is<MayRun>(calls.arrive(model, start)));
    calls.ended(model.key, core::Completed{"hello", {}}, false, start);
    CHECK(isAnswered<core::Completed>(calls.arrive(model, start)));
}

TEST(CallRegister, callThatWasNotRunMayComeAgain)
{
    calls.arrive(charge(), start);
    calls.ended(charge().key, core::NotRun{"dropped", {}}, true, start);
    CHECK(is<MayRun>(calls.arrive(charge(), start)));
}

TEST(CallRegister, anotherBodyUnderTheSameNumberIsNotRun)
{
    calls.arrive(charge(), start);
    CHECK(isAnswered<core::Unknown>(calls.arrive(charge(1, 0, "other"), start)));
}

TEST(CallRegister, olderTermIsRefusedForItsProgramAlone)
{
    CHECK(is<MayRun>(calls.arrive(charge(1, 7), start)));
    CHECK(isAnswered<core::Unknown>(calls.arrive(charge(2, 6), start)));
    CHECK(is<MayRun>(calls.arrive(charge(2, 7), start)));
    CallArrival other = charge(1, 6);
    other.key.first = base::ProgramId("order-2");
    CHECK(is<MayRun>(calls.arrive(other, start)));
}

TEST(CallRegister, endedCallsAreForgottenByAgeAndRunningOnesNever)
{
    calls.arrive(charge(1), start);
    calls.arrive(charge(2), start);
    calls.ended(charge(1).key, core::Unknown{"hung"}, true, start);
    calls.expire(start + keepTime);
    CHECK_EQUAL(2U, calls.size());
    calls.expire(start + 2 * keepTime);
    CHECK_EQUAL(1U, calls.size());
    CHECK(is<JoinsRunning>(calls.arrive(charge(2), start + 2 * keepTime)));
}

TEST(CallRegister, nonIdempotentCallRunsAtMostOnceInAnyOrderOfEvents)
{
    const bool held = rc::check("at most one run within the time to keep", [] {
        CallRegister tested(keepTime);
        std::map<std::uint32_t, int> runs;
        std::map<std::uint32_t, bool> running;
        const auto steps = *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 30));
        for (const int step : steps) {
            const auto number = static_cast<std::uint32_t>(step % 5);
            if (step < 15) {
                const ArrivalVerdict verdict = tested.arrive(charge(number, static_cast<std::uint64_t>(step)), start);
                if (is<MayRun>(verdict)) {
                    RC_ASSERT(!running[number]);
                    running[number] = true;
                    ++runs[number];
                }
            } else if (running[number]) {
                const bool notRun = step >= 25;
                tested.ended(charge(number).key,
                             notRun ? core::Outcome(core::NotRun{"refused", {}}) : core::Outcome(core::Unknown{"lost"}),
                             *rc::gen::arbitrary<bool>(), start);
                runs[number] -= notRun ? 1 : 0;
                running[number] = false;
            }
            tested.expire(start + keepTime);
            RC_ASSERT(runs[number] <= 1);
        }
    });
    CHECK(held);
}
