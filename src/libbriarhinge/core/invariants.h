#pragma once

#include "core/step.h"

#include <string>
#include <vector>

namespace briarhinge::core
{

/**
 * Checks the invariants that a single step can violate. The cost does not depend on the length of the history.
 *
 * @param tree the state after the step
 * @param event the event that was processed
 * @param actions the actions that the step returned
 * @return a description of each violated invariant
 */
std::vector<std::string> checkStep(const ProgramTree &tree, const Event &event, const std::vector<Action> &actions);

/**
 * Checks all invariants of a tree and verifies the digest chains of its histories.
 *
 * @param tree the state
 * @return a description of each violated invariant
 */
std::vector<std::string> checkInvariants(const ProgramTree &tree);

}
