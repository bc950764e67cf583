#include "turns/budgetledger.h"

#include <algorithm>

namespace briarhinge::turns
{

namespace
{

bool mergeEntry(BudgetEntries &target, const BudgetEntry &entry)
{
    const auto existing = std::find_if(target.begin(), target.end(), [&entry](const BudgetEntry &other) {
        return other.attempt == entry.attempt;
    });
    if (existing == target.end()) {
        target.push_back(entry);
        return true;
    }
    if (!entry.isSettled) {
        // An attempt is reserved once; a repeated reservation with a lower maximum is an error and must not lower it.
        const bool isRaised = !existing->isSettled && existing->maxTokens < entry.maxTokens;
        existing->maxTokens = std::max(existing->maxTokens, entry.maxTokens);
        return isRaised;
    }
    if (existing->isSettled && existing->spent >= entry.spent) {
        return false;
    }
    existing->isSettled = true;
    existing->spent = entry.spent;
    return true;
}

}

void mergeEntries(BudgetEntries &target, const BudgetEntries &from)
{
    for (const BudgetEntry &entry : from) {
        mergeEntry(target, entry);
    }
}

bool isUnderWay(const BudgetEntries &entries, const AttemptId &attempt)
{
    return std::any_of(entries.begin(), entries.end(), [&attempt](const BudgetEntry &entry) {
        return entry.attempt != attempt && (!entry.isSettled || entry.spent.value() > 0);
    });
}

BudgetDecision checkBudget(const BudgetEntries &entries, const AttemptId &attempt, base::Tokens budget)
{
    std::uint64_t settled = 0;
    std::uint64_t open = 0;
    std::uint64_t wanted = 0;
    for (const BudgetEntry &entry : entries) {
        if (entry.attempt == attempt) {
            wanted = entry.maxTokens.value();
        } else if (entry.isSettled) {
            settled += entry.spent.value();
        } else {
            open += entry.maxTokens.value();
        }
    }
    if (settled + open + wanted <= budget.value()) {
        return BudgetDecision::Granted;
    }
    return settled + wanted <= budget.value() ? BudgetDecision::Contended : BudgetDecision::Spent;
}

BudgetLedger::BudgetLedger(base::Milliseconds retention)
    : m_retention(retention)
{
}

bool BudgetLedger::apply(const base::ProgramId &program, const BudgetEntry &entry, Time changedAt)
{
    Budget &budget = m_budgets.try_emplace(program, Budget{{}, changedAt}).first->second;
    budget.lastChange = std::max(budget.lastChange, changedAt);
    return mergeEntry(budget.entries, entry);
}

BudgetEntries BudgetLedger::entries(const base::ProgramId &program) const
{
    const auto found = m_budgets.find(program);
    return found == m_budgets.end() ? BudgetEntries{} : found->second.entries;
}

bool BudgetLedger::isUnderWay(const base::ProgramId &program) const
{
    const auto found = m_budgets.find(program);
    return found != m_budgets.end() && turns::isUnderWay(found->second.entries);
}

const std::map<base::ProgramId, BudgetLedger::Budget> &BudgetLedger::budgets() const
{
    return m_budgets;
}

void BudgetLedger::expire(Time now)
{
    std::erase_if(m_budgets, [this, now](const auto &item) {
        return now - item.second.lastChange > m_retention;
    });
}

}
