#pragma once

#include "core/step.h"

namespace briarhinge::core
{

/** How long an owner retains ended program trees. */
struct RetentionPolicy
{
    /** Time after the end of a root program during which callers can read its answers. */
    base::Milliseconds maxAnswerAge;
    /** Time after the end during which its ids are rejected instead of opening a new program. */
    base::Milliseconds maxIdAge;
};

/** Result of a sweep. */
struct SweepResult
{
    /** Actions that the caller must carry out, as after a step. */
    std::vector<Action> actions;
    /** Whether the whole tree can be removed now. */
    bool isExpired = false;
};

/**
 * Ends a tree that has exceeded its wall time, and discards expired data of an ended tree.
 *
 * The ids of an ended tree are retained longer than its answers. Otherwise, a late caller could open the program again
 * and run its non-idempotent calls a second time.
 *
 * @param tree the tree, modified in place
 * @param policy the retention periods
 * @param now the time of the sweep
 * @return the actions to carry out, and whether the tree can be removed
 */
SweepResult sweep(ProgramTree &tree, const RetentionPolicy &policy, base::Timestamp now);

}
