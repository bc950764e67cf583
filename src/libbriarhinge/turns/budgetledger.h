#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "turns/lifetime.h"
#include "turns/turn.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace briarhinge::turns
{

/** One attempt at a turn as it counts against the token budget of its program. */
struct BudgetEntry
{
    AttemptId attempt;
    /** Maximum number of tokens that the attempt may generate. */
    base::Tokens maxTokens;
    bool isSettled = false;
    /** Number of generated tokens; valid once settled. */
    base::Tokens spent;

    /** @return the tokens charged to the budget: the maximum until the attempt is settled, then the tokens spent */
    base::Tokens chargedTokens() const
    {
        return isSettled ? spent : maxTokens;
    }

    bool operator==(const BudgetEntry &) const = default;
};

/** All attempts of one program. */
using BudgetEntries = std::vector<BudgetEntry>;

/**
 * Merges one replica of a budget into another: a settled entry replaces an open one, and of two settled entries the one
 * with more tokens spent wins. Merging is commutative and idempotent.
 *
 * @param target the replica to update
 * @param from the other replica
 */
void mergeEntries(BudgetEntries &target, const BudgetEntries &from);

/**
 * @param entries attempts of a program
 * @param attempt an attempt that does not count
 * @return whether another attempt runs, or has generated tokens
 */
bool isUnderWay(const BudgetEntries &entries, const AttemptId &attempt = {});

/** Outcome of a budget check for an attempt. */
enum class BudgetDecision {
    Granted,
    /** The attempt may fit once running attempts are settled for less than their maximum. */
    Contended,
    Spent,
};

/**
 * Checks whether an attempt fits into the budget of its program.
 *
 * @param entries all attempts of the program, including @p attempt
 * @param attempt the attempt to check
 * @param budget maximum number of tokens that all attempts of the program may generate
 * @return whether the attempt may run
 */
BudgetDecision checkBudget(const BudgetEntries &entries, const AttemptId &attempt, base::Tokens budget);

/** The replicas of token budgets at one turn store. Reads no clock and is not thread-safe. */
class BudgetLedger
{
public:
    /** Point in time on any monotonic clock. */
    using Time = Lifetime::Time;

    /** @param retention how long the budget of a program is retained after its last update */
    explicit BudgetLedger(base::Milliseconds retention);

    /** The attempts of a program and their lifetime; adding or settling one of them counts as a use. */
    struct Budget
    {
        BudgetEntries entries;
        Lifetime lifetime;
    };

    /**
     * Adds or settles an attempt and renews the retention of its program.
     *
     * @param program the program
     * @param entry the attempt
     * @param changedAt when the attempt was added or settled; the current time unless it comes from another store or from
     * the journal
     * @param expiry when the budget of the program expires at the earliest, whatever the retention
     * @return whether an entry changed
     */
    bool apply(const base::ProgramId &program, const BudgetEntry &entry, Time changedAt, Time expiry = Time::min());

    /** @return the attempts of @p program */
    BudgetEntries entries(const base::ProgramId &program) const;

    /** @return whether @p program is known and under way */
    bool isUnderWay(const base::ProgramId &program) const;

    /** @return memory of all budgets in bytes */
    std::size_t bytes() const;

    /** @return memory of one more attempt of a program that may not be known yet, in bytes */
    static std::size_t bytesOf(const base::ProgramId &program, const AttemptId &attempt);

    /** @return all budgets by program */
    const std::map<base::ProgramId, Budget> &budgets() const;

    /** @param retention how long a budget is retained after its last change, unless it expires later already */
    void setRetention(base::Milliseconds retention);

    /** Prolongs the retention of the present budgets. @param retention how long they are retained at least */
    void extend(base::Milliseconds retention);

    /** Removes the programs whose budgets have expired at the time @p now. */
    void expire(Time now);

private:
    base::Milliseconds m_retention;
    std::map<base::ProgramId, Budget> m_budgets;
    std::size_t m_bytes = 0;
};

}
