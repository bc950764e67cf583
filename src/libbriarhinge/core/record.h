#pragma once

#include "core/program.h"

#include <variant>

namespace briarhinge::core
{

/** A program was opened; the first grant is part of it. */
struct ProgramOpened
{
    ProgramSpec spec;
    KindPolicy policy;
    base::Timestamp openedAt;
    Amounts grant;

    bool operator==(const ProgramOpened &) const = default;
};

/** More of the budget may be spent by the owner. */
struct BudgetGranted
{
    base::ProgramId root;
    Amounts amounts;

    bool operator==(const BudgetGranted &) const = default;
};

/** A non-idempotent call may leave for an upstream from now on. */
struct CallClaimed
{
    base::ProgramId program;
    CallRequest request;

    bool operator==(const CallClaimed &) const = default;
};

/** A claimed call did not leave for an upstream after all. */
struct ClaimWithdrawn
{
    base::ProgramId program;
    base::CallNumber number;

    bool operator==(const ClaimWithdrawn &) const = default;
};

/** A call ended; its turn extends the history. */
struct TurnFinished
{
    base::ProgramId program;
    CallRequest request;
    Outcome outcome;

    bool operator==(const TurnFinished &) const = default;
};

/** A program ended, with all its sub-programs. */
struct ProgramEnded
{
    base::ProgramId program;

    bool operator==(const ProgramEnded &) const = default;
};

/** The whole account of a budget at this place of the log; replaces what earlier records said. */
struct BudgetState
{
    base::ProgramId root;
    Amounts granted;
    Amounts spent;
    /** Whether no call was under way: the difference of both is then still to spend. */
    bool settled = false;

    bool operator==(const BudgetState &) const = default;
};

/** One entry of the durable log of an owner. */
using Record =
    std::variant<ProgramOpened, BudgetGranted, CallClaimed, ClaimWithdrawn, TurnFinished, ProgramEnded, BudgetState>;

/**
 * @param record a record
 * @return the root program whose tree it changes
 */
base::ProgramId rootOf(const Record &record);

/**
 * Applies a record read back from the log, as when an owner takes over.
 *
 * Records that don't fit the state (a turn out of order, an unknown program) are ignored and reported.
 *
 * @param tree the tree to change
 * @param record the record, in log order
 * @return whether the record fitted
 */
bool replay(ProgramTree &tree, const Record &record);

/**
 * Closes the replay of a dead owner's records: claims without an end become Unknown, open grants count as spent
 * unless the budget was settled by a planned handover.
 *
 * @param tree the tree that was replayed
 * @return the records that make these endings durable in the new owner's log
 */
std::vector<Record> finishReplay(ProgramTree &tree);

/**
 * Lists the records from which a tree can be built again, so that the records before them are not needed any more.
 *
 * Replayed over the tree itself they change nothing: a snapshot that was cut off loses nothing either.
 *
 * @param tree the tree
 * @return the records, in the order of replay
 */
std::vector<Record> snapshotOf(const ProgramTree &tree);

/** @param tree a tree @return whether no call of it is under way */
bool isIdle(const ProgramTree &tree);

}
