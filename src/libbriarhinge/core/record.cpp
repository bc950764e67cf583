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
    ProgramState &program = tree.programs[record.spec.id];
    program.spec = record.spec;
    program.head = emptyHistory(record.spec.id);
    if (!record.spec.parent) {
        tree.policy = record.policy;
        tree.openedAt = record.openedAt;
        tree.budget = Budget(record.policy.budget);
        tree.budget.grant(record.grant);
        tree.isStored = true;
    }
    return true;
}

bool apply(ProgramTree &tree, const BudgetGranted &record)
{
    tree.budget.grant(record.amounts);
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
    call.body = bodyDigest(record.request);
    call.stage = CallStage::Running;
    return true;
}

bool apply(ProgramTree &tree, const ClaimWithdrawn &record)
{
    ProgramState *program = find(tree, record.program);
    if (program == nullptr || record.number != program->nextCall) {
        return false;
    }
    // The claim itself may never have become durable: then there is nothing to erase.
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
    call.body = bodyDigest(record.request);
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

base::ProgramId rootOf(const Record &record)
{
    return std::visit(
        [](const auto &changed) {
            using Kind = std::decay_t<decltype(changed)>;
            if constexpr (std::is_same_v<Kind, ProgramOpened>) {
                return rootOf(changed.spec.id);
            } else if constexpr (std::is_same_v<Kind, BudgetGranted>) {
                return changed.root;
            } else {
                return rootOf(changed.program);
            }
        },
        record);
}

bool replay(ProgramTree &tree, const Record &record)
{
    return std::visit(
        [&](const auto &changed) {
            return apply(tree, changed);
        },
        record);
}

std::vector<Record> finishReplay(ProgramTree &tree)
{
    std::vector<Record> records;
    tree.budget.forfeitGrants();
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

}
