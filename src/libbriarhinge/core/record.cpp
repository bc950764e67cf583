#include "core/record.h"

#include <algorithm>
#include <type_traits>

namespace briarhinge::core
{

namespace
{

using base::CallNumber;

bool apply(ProgramTree &tree, const ProgramOpened &record)
{
    if (tree.programs.contains(record.spec.id)) {
        return false;
    }
    ProgramState &program = tree.programs[record.spec.id];
    program.spec = record.spec;
    program.head = emptyHistory(record.spec.id);
    if (!record.spec.parent) {
        tree.policy = record.policy;
        tree.openedAt = record.openedAt;
        tree.budget = Budget(record.policy.budget);
        tree.budget.grant(record.grant);
        tree.isOpeningDurable = true;
    }
    return true;
}

bool apply(ProgramTree &tree, const BudgetGranted &record)
{
    tree.budget.grant(record.amounts);
    return true;
}

bool apply(ProgramTree &tree, const BudgetState &record)
{
    tree.budget = Budget(tree.policy.budget, record.granted, record.spent);
    return true;
}

ProgramState *find(ProgramTree &tree, const base::ProgramId &id)
{
    const auto found = tree.programs.find(id);
    return found == tree.programs.end() ? nullptr : &found->second;
}

bool apply(ProgramTree &tree, const CallClaimed &record)
{
    ProgramState *program = find(tree, record.program);
    if (program == nullptr || record.request.number != program->nextCall) {
        return false;
    }
    CallState &call = program->calls[record.request.number];
    call.request = record.request;
    call.bodyDigest = bodyDigest(record.request);
    call.stage = CallStage::Running;
    return true;
}

bool apply(ProgramTree &tree, const ClaimWithdrawn &record)
{
    ProgramState *program = find(tree, record.program);
    if (program == nullptr || record.number != program->nextCall) {
        return false;
    }
    // There is nothing to erase if the claim itself never became durable.
    program->calls.erase(record.number);
    return true;
}

bool apply(ProgramTree &tree, const TurnFinished &record)
{
    ProgramState *program = find(tree, record.program);
    if (program == nullptr || record.request.number != program->nextCall) {
        return false;
    }
    CallState &call = program->calls[record.request.number];
    call.request = record.request;
    call.bodyDigest = bodyDigest(record.request);
    call.stage = CallStage::Finished;
    call.outcome = record.outcome;
    call.committed = true;
    call.digest = extendHistory(program->head, record.program, call);
    program->head = call.digest;
    program->nextCall = CallNumber(record.request.number.value() + 1);
    return true;
}

bool apply(ProgramTree &tree, const ProgramEnded &record)
{
    ProgramState *ended = find(tree, record.program);
    if (ended == nullptr) {
        return false;
    }
    for (auto &[id, program] : tree.programs) {
        if (id == record.program || id.value().starts_with(record.program.value() + ".")) {
            program.ended = true;
        }
    }
    return true;
}

}

base::ProgramId rootProgramId(const Record &record)
{
    return std::visit(
        [](const auto &concreteRecord) {
            using Kind = std::decay_t<decltype(concreteRecord)>;
            if constexpr (std::is_same_v<Kind, ProgramOpened>) {
                return rootProgramId(concreteRecord.spec.id);
            } else if constexpr (std::is_same_v<Kind, BudgetGranted> || std::is_same_v<Kind, BudgetState>) {
                return concreteRecord.root;
            } else {
                return rootProgramId(concreteRecord.program);
            }
        },
        record);
}

bool replay(ProgramTree &tree, const Record &record)
{
    const auto *state = std::get_if<BudgetState>(&record);
    tree.settled = state != nullptr && state->settled;
    return std::visit(
        [&](const auto &concreteRecord) {
            return apply(tree, concreteRecord);
        },
        record);
}

std::vector<Record> finishReplay(ProgramTree &tree)
{
    std::vector<Record> records;
    if (!tree.settled) {
        tree.budget.forfeitGrants();
    }
    tree.settled = false;
    for (auto &[id, program] : tree.programs) {
        const auto found = program.calls.find(program.nextCall);
        if (found == program.calls.end()) {
            continue;
        }
        const TurnFinished ended{id, found->second.request,
                                 Unknown{"the owner of the program died after the call was claimed"}};
        apply(tree, ended);
        records.emplace_back(ended);
    }
    return records;
}

namespace
{

/**
 * Sums up the grants in the log. They include the pending grants of calls that wait for durability, since their
 * records have already been appended.
 */
Amounts loggedGrants(const ProgramTree &tree)
{
    Amounts granted = tree.budget.granted();
    for (const auto &[id, program] : tree.programs) {
        for (const auto &[number, call] : program.calls) {
            granted = granted + call.pendingGrant.value_or(Amounts{});
        }
    }
    return granted;
}

void addCalls(const ProgramState &program, std::vector<Record> &records)
{
    for (const auto &[number, call] : program.calls) {
        if (call.stage == CallStage::Finished) {
            records.emplace_back(TurnFinished{program.spec.id, call.request, *call.outcome});
        } else if (!call.request.idempotent) {
            records.emplace_back(CallClaimed{program.spec.id, call.request});
        }
    }
}

}

std::vector<Record> makeSnapshot(const ProgramTree &tree)
{
    std::vector<Record> records;
    std::vector<Record> ends;
    for (const auto &[id, program] : tree.programs) {
        records.emplace_back(ProgramOpened{program.spec, tree.policy, tree.openedAt, {}});
        addCalls(program, records);
        if (program.ended) {
            ends.emplace_back(ProgramEnded{id});
        }
    }
    records.insert(records.end(), ends.begin(), ends.end());
    if (!tree.programs.empty()) {
        records.emplace_back(BudgetState{rootProgramId(tree.programs.begin()->first), loggedGrants(tree),
                                         tree.budget.spent(), isIdle(tree)});
    }
    return records;
}

bool isIdle(const ProgramTree &tree)
{
    return std::all_of(tree.programs.begin(), tree.programs.end(), [](const auto &program) {
        return std::all_of(program.second.calls.begin(), program.second.calls.end(), [](const auto &call) {
            return call.second.stage == CallStage::Finished;
        });
    });
}

}
