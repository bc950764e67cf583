#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "turns/turn.h"

#include <chrono>
#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

namespace briarhinge::turns
{

/** One attempt at a turn as it counts against the token budget of its program. */
struct BudgetEntry
{
    AttemptId attempt;
    /** Most tokens that the attempt may hand out. */
    base::Tokens most;
    bool isSettled = false;
    /** Tokens that were handed out; of meaning once settled. */
    base::Tokens spent;

    /** @return what counts: the most until the attempt is settled */
    base::Tokens counted() const
    {
        return isSettled ? spent : most;
    }

    bool operator==(const BudgetEntry &) const = default;
};

/** The attempts of one program. */
using BudgetEntries = std::vector<BudgetEntry>;

/**
 * Takes what one copy of a budget knows into another: a settled entry replaces an open one, and of two settled ones the
 * higher counts. The order of merges makes no difference.
 *
 * @param into the copy that learns
 * @param from the other copy
 */
void mergeEntries(BudgetEntries &into, const BudgetEntries &from);

/** Whether an attempt may run within its program's budget. */
enum class BudgetVerdict {
    Granted,
    /** It might fit once attempts under way have been settled for less than their most. */
    Contended,
    Spent,
};

/**
 * @param entries every attempt of the program, the asked one included
 * @param attempt the attempt that wants to run
 * @param budget tokens that all attempts of the program may hand out
 * @return whether it may run
 */
BudgetVerdict judgeBudget(const BudgetEntries &entries, const AttemptId &attempt, base::Tokens budget);

/** The token budgets that one turn store keeps a copy of. Free of clocks; not synchronised. */
class BudgetLedger
{
public:
    /** Time on any clock that never goes back. */
    using Time = std::chrono::steady_clock::time_point;

    /** @param retention how long a program is kept after its last change */
    explicit BudgetLedger(base::Milliseconds retention);

    /**
     * Adds or settles an attempt.
     *
     * @param program the program
     * @param entry the attempt
     * @param now the time
     * @return whether that changed anything
     */
    bool apply(const base::ProgramId &program, const BudgetEntry &entry, Time now);

    /** @param program a program @return its attempts */
    BudgetEntries entries(const base::ProgramId &program) const;

    /** @return every program, in no order */
    std::vector<base::ProgramId> programs() const;

    /** Forgets programs without a change for the retention. @param now the time */
    void expire(Time now);

private:
    struct Budget
    {
        BudgetEntries entries;
        Time lastChange;
    };

    const base::Milliseconds m_retention;
    std::unordered_map<base::ProgramId, Budget> m_budgets;
};

}
