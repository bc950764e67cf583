#include "runner/callregister.h"

#include <map>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace briarhinge;
using namespace briarhinge::runner;

namespace
{

constexpr base::Milliseconds retention{1000};
const base::Timestamp start{base::Milliseconds(10'000)};

IncomingCall charge(std::uint32_t number = 1, std::uint64_t term = 0, const std::string &digest = "d")
{
    return {{base::ProgramId("order-1"), base::CallNumber(number)}, digest, base::Term(term), false};
}

template <class Kind>
bool is(const ArrivalDecision &decision)
{
    return std::holds_alternative<Kind>(decision);
}

template <class Kind>
bool isAnswered(const ArrivalDecision &decision)
{
    const auto *answered = std::get_if<ReturnOutcome>(&decision);
    return answered != nullptr && std::holds_alternative<Kind>(answered->outcome);
}

}

TEST_GROUP(CallRegister)
{
    CallRegister calls{retention};
};

TEST(CallRegister, secondRequesterJoinsARunningCallAndGetsTheStoredOutcome)
{
    CHECK(is<RunNewCall>(calls.handleArrival(charge(), start)));
    CHECK(is<JoinExistingCall>(calls.handleArrival(charge(), start)));
    calls.recordOutcome(charge().key, core::Completed{"done", {}}, true, start);
    CHECK(isAnswered<core::Completed>(calls.handleArrival(charge(), start)));
}

TEST(CallRegister, answerOfAnIdempotentCallIsKeptOnlyIfUndelivered)
{
    IncomingCall model = charge();
    model.idempotent = true;
    calls.handleArrival(model, start);
    calls.recordOutcome(model.key, core::Completed{"hello", {}}, true, start);
    CHECK(is<RunNewCall>(calls.handleArrival(model, start)));
    calls.recordOutcome(model.key, core::Unknown{"stopped"}, false, start);
    CHECK(is<RunNewCall>(calls.handleArrival(model, start)));
    calls.recordOutcome(model.key, core::Completed{"hello", {}}, false, start);
    CHECK(isAnswered<core::Completed>(calls.handleArrival(model, start)));
}

TEST(CallRegister, callThatWasNotRunMayBeRepeated)
{
    calls.handleArrival(charge(), start);
    calls.recordOutcome(charge().key, core::NotRun{"dropped", {}}, true, start);
    CHECK(is<RunNewCall>(calls.handleArrival(charge(), start)));
}

TEST(CallRegister, anotherBodyUnderTheSameNumberIsNotRun)
{
    calls.handleArrival(charge(), start);
    CHECK(isAnswered<core::Unknown>(calls.handleArrival(charge(1, 0, "other"), start)));
}

TEST(CallRegister, olderTermIsRefusedForItsProgramAlone)
{
    CHECK(is<RunNewCall>(calls.handleArrival(charge(1, 7), start)));
    CHECK(isAnswered<core::Unknown>(calls.handleArrival(charge(2, 6), start)));
    CHECK(is<RunNewCall>(calls.handleArrival(charge(2, 7), start)));
    IncomingCall other = charge(1, 6);
    other.key.first = base::ProgramId("order-2");
    CHECK(is<RunNewCall>(calls.handleArrival(other, start)));
}

TEST(CallRegister, endedCallsAreForgottenByAgeAndRunningOnesNever)
{
    calls.handleArrival(charge(1), start);
    calls.handleArrival(charge(2), start);
    calls.recordOutcome(charge(1).key, core::Unknown{"hung"}, true, start);
    calls.expire(start + retention);
    CHECK_EQUAL(2U, calls.size());
    calls.expire(start + 2 * retention);
    CHECK_EQUAL(1U, calls.size());
    CHECK(is<JoinExistingCall>(calls.handleArrival(charge(2), start + 2 * retention)));
}

TEST(CallRegister, nonIdempotentCallRunsAtMostOnceInAnyOrderOfEvents)
{
    const bool held = rc::check("at most one run within the retention time", [] {
        CallRegister tested(retention);
        std::map<std::uint32_t, int> runs;
        std::map<std::uint32_t, bool> running;
        const auto steps = *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 30));
        for (const int step : steps) {
            const auto number = static_cast<std::uint32_t>(step % 5);
            if (step < 15) {
                const ArrivalDecision decision =
                    tested.handleArrival(charge(number, static_cast<std::uint64_t>(step)), start);
                if (is<RunNewCall>(decision)) {
                    RC_ASSERT(!running[number]);
                    running[number] = true;
                    ++runs[number];
                }
            } else if (running[number]) {
                const bool notRun = step >= 25;
                tested.recordOutcome(charge(number).key,
                                     notRun ? core::Outcome(core::NotRun{"refused", {}})
                                            : core::Outcome(core::Unknown{"lost"}),
                                     *rc::gen::arbitrary<bool>(), start);
                runs[number] -= notRun ? 1 : 0;
                running[number] = false;
            }
            tested.expire(start + retention);
            RC_ASSERT(runs[number] <= 1);
        }
    });
    CHECK(held);
}
