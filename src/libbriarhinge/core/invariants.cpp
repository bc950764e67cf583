#include "core/invariants.h"

#include <type_traits>

#include <fmt/format.h>

namespace briarhinge::core
{

namespace
{

using base::CallNumber;
using base::ProgramId;
using Violations = std::vector<std::string>;

std::string describeCall(const ProgramId &program, CallNumber number)
{
    return fmt::format("call {} of program \"{}\"", number.value(), program.value());
}

/** @return the unfinished call, or nullptr if there is none */
const CallState *unfinishedCall(const ProgramState &program)
{
    const auto found = program.calls.find(program.nextCall);
    return found == program.calls.end() ? nullptr : &found->second;
}

Amounts reservedByRunningCalls(const ProgramTree &tree)
{
    Amounts sum;
    for (const auto &[id, program] : tree.programs) {
        const CallState *call = unfinishedCall(program);
        if (call != nullptr && call->stage == CallStage::Running) {
            sum = sum + call->reserved;
        }
    }
    return sum;
}

void checkBudget(const ProgramTree &tree, Violations &violations)
{
    const Budget &budget = tree.budget;
    if (!fitsIn(budget.granted(), budget.limit())) {
        violations.emplace_back("granted amounts exceed the budget limit");
    }
    if (!fitsIn(budget.spent() + budget.reserved(), budget.limit())) {
        violations.emplace_back("spent and reserved amounts exceed the budget limit");
    }
    if (!fitsIn(budget.spent() + reservedByRunningCalls(tree), budget.granted())) {
        violations.emplace_back("spent amounts and reservations of running calls exceed the granted budget");
    }
}

/** Checks the last finished call and the unfinished one. Earlier calls were checked when they finished. */
void checkCallOrder(const ProgramState &program, Violations &violations)
{
    const ProgramId &id = program.spec.id;
    if (!program.calls.empty() && program.calls.rbegin()->first > program.nextCall) {
        violations.push_back(describeCall(id, program.calls.rbegin()->first) + " was accepted out of order");
    }
    const CallState *unfinished = unfinishedCall(program);
    if (unfinished != nullptr && (unfinished->stage == CallStage::Finished || unfinished->outcome)) {
        violations.push_back(describeCall(id, program.nextCall) + " has an outcome but is not part of the history");
    }
    const auto last = program.calls.find(CallNumber(program.nextCall.value() - 1));
    if (last != program.calls.end() && (last->second.stage != CallStage::Finished || !last->second.outcome)) {
        violations.push_back(describeCall(id, last->first) + " is part of the history without an outcome");
    }
    if (last != program.calls.end() && last->second.digest != program.head) {
        violations.push_back("the history of program \"" + id.value() + "\" does not end with its last call");
    }
}

/** Verifies the digest chain of the finished calls. */
void checkDigestChain(const ProgramState &program, Violations &violations)
{
    if (program.ended && program.calls.empty()) {
        // Only the id of an ended program is retained after its answers have expired.
        return;
    }
    base::Digest head = emptyHistory(program.spec.id);
    CallNumber expected{1};
    for (const auto &[number, call] : program.calls) {
        if (call.stage != CallStage::Finished) {
            continue;
        }
        if (number != expected || !call.outcome || std::holds_alternative<NotRun>(*call.outcome)) {
            violations.push_back(describeCall(program.spec.id, number) + " must not be part of the history");
            return;
        }
        head = extendHistory(head, program.spec.id, call);
        if (call.digest != head) {
            violations.push_back(describeCall(program.spec.id, number) + " does not extend the history before it");
        }
        expected = CallNumber(number.value() + 1);
    }
    if (expected != program.nextCall) {
        violations.push_back("the history of program \"" + program.spec.id.value() + "\" has a gap");
    }
}

const ProgramState *find(const ProgramTree &tree, const ProgramId &id)
{
    const auto found = tree.programs.find(id);
    return found == tree.programs.end() ? nullptr : &found->second;
}

void checkDispatch(const ProgramTree &tree, const Event &event, const DispatchCall &dispatch, Violations &violations)
{
    const std::string name = describeCall(dispatch.program, dispatch.request.number);
    const ProgramState *program = find(tree, dispatch.program);
    if (program == nullptr || program->ended) {
        violations.push_back(name + " is dispatched after the end of its program");
        return;
    }
    const CallState *call = unfinishedCall(*program);
    if (call == nullptr || call->stage != CallStage::Running || !(call->request == dispatch.request)) {
        violations.push_back(name + " is dispatched but is not the running call");
    }
    if (!dispatch.request.idempotent && !std::holds_alternative<CallStored>(event)) {
        violations.push_back(name + " is not idempotent and is dispatched without a durable claim");
    }
}

/** Checks that a reply matches the stored outcome, and that only calls without a stored outcome are NotRun. */
void checkAnswer(const ProgramTree &tree, const ProgramId &id, CallNumber number, const Outcome &outcome,
                 Violations &violations)
{
    const ProgramState *program = find(tree, id);
    const auto call =
        program == nullptr ? std::map<CallNumber, CallState>::const_iterator{} : program->calls.find(number);
    const bool isStored = program != nullptr && call != program->calls.end();
    const bool agrees = isStored ? call->second.outcome == outcome : std::holds_alternative<NotRun>(outcome);
    if (!agrees) {
        violations.push_back(describeCall(id, number)
                             + " is answered with an outcome that differs from the stored one");
    }
}

}

std::vector<std::string> checkStep(const ProgramTree &tree, const Event &event, const std::vector<Action> &actions)
{
    Violations violations;
    checkBudget(tree, violations);
    for (const auto &[id, program] : tree.programs) {
        checkCallOrder(program, violations);
    }
    for (const Action &action : actions) {
        if (const auto *dispatch = std::get_if<DispatchCall>(&action)) {
            checkDispatch(tree, event, *dispatch, violations);
        } else if (const auto *answer = std::get_if<AnswerNow>(&action)) {
            checkAnswer(tree, answer->program, answer->number, answer->outcome, violations);
        } else if (const auto *finish = std::get_if<FinishCall>(&action)) {
            checkAnswer(tree, finish->program, finish->number, finish->outcome, violations);
        }
    }
    return violations;
}

std::vector<std::string> checkInvariants(const ProgramTree &tree)
{
    Violations violations;
    checkBudget(tree, violations);
    for (const auto &[id, program] : tree.programs) {
        checkCallOrder(program, violations);
        checkDigestChain(program, violations);
    }
    return violations;
}

}
