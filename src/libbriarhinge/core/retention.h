#pragma once

#include "core/step.h"

namespace briarhinge::core
{

/** How long an owner keeps what is no longer under way. */
struct RetentionPolicy
{
    /** Time after the end of a root program for which its answers can be asked for. */
    base::Milliseconds answers;
    /** Time after the end for which its id is refused instead of opening a new program. */
    base::Milliseconds ids;
};

/** What a sweep did to a tree. */
struct SweepResult
{
    /** What the shell has to do, as after a step. */
    std::vector<Action> actions;
    /** Whether the whole tree is to be forgotten now. */
    bool isForgotten = false;
};

/**
 * Ends a tree that is past its wall time and lets go of what is no longer needed of an ended one.
 *
 * An ended tree keeps its ids longer than its answers: a late caller must not open the program anew and so run its
 * non-idempotent calls a second time.
 *
 * @param tree the tree, changed in place
 * @param policy how long to keep what
 * @param now the time of the sweep
 * @return what to do about it
 */
SweepResult sweep(ProgramTree &tree, const RetentionPolicy &policy, base::Timestamp now);

}
