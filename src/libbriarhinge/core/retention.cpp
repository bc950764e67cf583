#include "core/retention.h"

#include <algorithm>

namespace briarhinge::core
{

namespace
{

bool hasUnfinishedCall(const ProgramState &program)
{
    return std::any_of(program.calls.begin(), program.calls.end(), [](const auto &item) {
        return item.second.stage != CallStage::Finished;
    });
}

bool hasUnfinishedCall(const ProgramTree &tree)
{
    return std::any_of(tree.programs.begin(), tree.programs.end(), [](const auto &item) {
        return hasUnfinishedCall(item.second);
    });
}

/** @return the root program, or nullptr for an empty tree */
ProgramState *rootProgram(ProgramTree &tree)
{
    const auto found = std::find_if(tree.programs.begin(), tree.programs.end(), [](const auto &item) {
        return !item.second.spec.parent;
    });
    return found == tree.programs.end() ? nullptr : &found->second;
}

void discardAnswers(ProgramTree &tree)
{
    for (auto &[id, program] : tree.programs) {
        program.calls.clear();
    }
}

}

SweepResult sweep(ProgramTree &tree, const RetentionPolicy &policy, base::Timestamp now)
{
    const ProgramState *root = rootProgram(tree);
    if (root == nullptr || hasUnfinishedCall(tree)) {
        return {};
    }
    if (!root->ended) {
        const bool isPastWallTime = now - tree.openedAt > tree.policy.wallTime;
        return {isPastWallTime ? step(tree, EndProgram{root->spec.id}, now) : std::vector<Action>{}, false};
    }
    if (!tree.endedAt) {
        tree.endedAt = now;
    }
    if (now - *tree.endedAt > policy.maxAnswerAge) {
        discardAnswers(tree);
    }
    return {{}, now - *tree.endedAt > policy.maxIdAge};
}

}
