#pragma once

#include "core/program.h"

#include <variant>

namespace briarhinge::core
{

/** A program was opened. Carries the first grant of a root program. */
struct ProgramOpened
{
    ProgramSpec spec;
    KindPolicy policy;
    base::Timestamp openedAt;
    Amounts grant;

    bool operator==(const ProgramOpened &) const = default;
};

/** The owner may spend a further part of the budget. */
struct BudgetGranted
{
    base::ProgramId root;
    Amounts amounts;

    bool operator==(const BudgetGranted &) const = default;
};

/** A non-idempotent call may be sent to an upstream from now on. */
struct CallClaimed
{
    base::ProgramId program;
    CallRequest request;

    bool operator==(const CallClaimed &) const = default;
};

/** A claimed call was not sent to an upstream. */
struct ClaimWithdrawn
{
    base::ProgramId program;
    base::CallNumber number;

    bool operator==(const ClaimWithdrawn &) const = default;
};

/** A call finished and its turn was added to the history. */
struct TurnFinished
{
    base::ProgramId program;
    CallRequest request;
    Outcome outcome;

    bool operator==(const TurnFinished &) const = default;
};

/** A program ended together with its sub-programs. */
struct ProgramEnded
{
    base::ProgramId program;

    bool operator==(const ProgramEnded &) const = default;
};

/** The state of a budget at this log position; supersedes all earlier grants. */
struct BudgetState
{
    base::ProgramId root;
    Amounts granted;
    Amounts spent;
    /** Whether no call was unfinished, so that the granted but unspent amounts are still available. */
    bool settled = false;

    bool operator==(const BudgetState &) const = default;
};

/** One record in the durable log of an owner. */
using Record =
    std::variant<ProgramOpened, BudgetGranted, CallClaimed, ClaimWithdrawn, TurnFinished, ProgramEnded, BudgetState>;

/**
 * @param record a record
 * @return the root of the program tree that it changes
 */
base::ProgramId rootProgramId(const Record &record);

/**
 * Applies a record that was read from the log, for example when a new owner takes over.
 *
 * Records that are inconsistent with the state (a turn out of order, an unknown program) are ignored.
 *
 * @param tree the tree, modified in place
 * @param record the next record in log order
 * @return whether the record was applied
 */
bool replay(ProgramTree &tree, const Record &record);

/**
 * Completes the replay of a previous owner's log. Claimed calls without an outcome become Unknown, and all grants
 * count as spent unless a planned handover settled the budget.
 *
 * @param tree the replayed tree, modified in place
 * @return the records that the new owner must append to make these outcomes durable
 */
std::vector<Record> finishReplay(ProgramTree &tree);

/**
 * Creates a snapshot: the records that rebuild a tree, so that earlier records are no longer needed.
 *
 * Replaying a snapshot over the tree itself has no effect, so a truncated snapshot loses no state.
 *
 * @param tree the tree
 * @return the records in replay order
 */
std::vector<Record> makeSnapshot(const ProgramTree &tree);

/**
 * @param tree a program tree
 * @return whether all its calls are finished
 */
bool isIdle(const ProgramTree &tree);

}
