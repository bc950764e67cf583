#pragma once

#include "core/step.h"

#include <string>
#include <vector>

namespace briarhinge::core
{

/**
 * Checks what a step has just touched; its cost does not grow with the length of the history.
 *
 * @param tree the state after the step
 * @param event the event of the step
 * @param actions what the step decided
 * @return a sentence for each invariant that is broken
 */
std::vector<std::string> brokenByStep(const ProgramTree &tree, const Event &event, const std::vector<Action> &actions);

/**
 * Checks a whole tree, every digest of its histories included.
 *
 * @param tree the state
 * @return a sentence for each invariant that is broken
 */
std::vector<std::string> brokenInvariants(const ProgramTree &tree);

}
