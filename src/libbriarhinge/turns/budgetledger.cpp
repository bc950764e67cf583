#include "turns/budgetledger.h"

#include <algorithm>

namespace briarhinge::turns
{

namespace
{

bool mergeEntry(BudgetEntries &into, const BudgetEntry &entry)
{
    const auto known = std::find_if(into.begin(), into.end(), [&entry](const BudgetEntry &other) {
        return other.attempt == entry.attempt;
    });
    if (known == into.end()) {
        into.push_back(entry);
        return true;
    }
    if (!entry.isSettled) {
        // An attempt is reserved once; a repeated reservation with a lower maximum is an error and must not lower it.
        const bool grows = !known->isSettled && known->most < entry.most;
        known->most = std::max(known->most, entry.most);
        return grows;
    }
    if (known->isSettled && known->spent >= entry.spent) {
        return false;
    }
    known->isSettled = true;
    known->spent = entry.spent;
    return true;
}

}

void mergeEntries(BudgetEntries &into, const BudgetEntries &from)
{
    for (const BudgetEntry &entry : from) {
        mergeEntry(into, entry);
    }
}

BudgetVerdict judgeBudget(const BudgetEntries &entries, const AttemptId &attempt, base::Tokens budget)
{
    std::uint64_t settled = 0;
    std::uint64_t open = 0;
    std::uint64_t wanted = 0;
    for (const BudgetEntry &entry : entries) {
        if (entry.attempt == attempt) {
            wanted = entry.most.value();
        } else if (entry.isSettled) {
            settled += entry.spent.value();
        } else {
            open += entry.most.value();
        }
    }
    if (settled + open + wanted <= budget.value()) {
        return BudgetVerdict::Granted;
    }
    return settled + wanted <= budget.value() ? BudgetVerdict::Contended : BudgetVerdict::Spent;
}

BudgetLedger::BudgetLedger(base::Milliseconds retention)
    : m_retention(retention)
{
}

bool BudgetLedger::apply(const base::ProgramId &program, const BudgetEntry &entry, Time now)
{
    Budget &budget = m_budgets[program];
    budget.lastChange = now;
    return mergeEntry(budget.entries, entry);
}

BudgetEntries BudgetLedger::entries(const base::ProgramId &program) const
{
    const auto found = m_budgets.find(program);
    return found == m_budgets.end() ? BudgetEntries{} : found->second.entries;
}

std::vector<base::ProgramId> BudgetLedger::programs() const
{
    std::vector<base::ProgramId> names;
    names.reserve(m_budgets.size());
    for (const auto &[program, budget] : m_budgets) {
        names.push_back(program);
    }
    return names;
}

void BudgetLedger::expire(Time now)
{
    std::erase_if(m_budgets, [this, now](const auto &item) {
        return now - item.second.lastChange > m_retention;
    });
}

}
