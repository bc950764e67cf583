#include "turns/budgetledger.h"

#include <algorithm>
#include <numeric>

namespace briarhinge::turns
{

namespace
{

/** Memory of a program and of an attempt besides their ids. */
constexpr std::size_t programBytes = 192;
constexpr std::size_t attemptBytes = 128;

std::size_t memoryBytes(const base::ProgramId &program)
{
    return programBytes + program.value().size();
}

std::size_t memoryBytes(const AttemptId &attempt)
{
    return attemptBytes + attempt.value().size();
}

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

bool BudgetLedger::apply(const base::ProgramId &program, const BudgetEntry &entry, Time changedAt, Time expiry)
{
    Lifetime use{changedAt, expiry};
    use.extend(m_retention);
    const auto [found, isNew] = m_budgets.try_emplace(program, Budget{{}, use});
    Budget &budget = found->second;
    budget.lifetime.extend(use);
    const std::size_t attempts = budget.entries.size();
    const bool isChanged = mergeEntry(budget.entries, entry);
    m_bytes += isNew ? memoryBytes(program) : 0;
    m_bytes += budget.entries.size() > attempts ? memoryBytes(entry.attempt) : 0;
    return isChanged;
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

std::size_t BudgetLedger::bytes() const
{
    return m_bytes;
}

std::size_t BudgetLedger::bytesOf(const base::ProgramId &program, const AttemptId &attempt)
{
    return memoryBytes(program) + memoryBytes(attempt);
}

const std::map<base::ProgramId, BudgetLedger::Budget> &BudgetLedger::budgets() const
{
    return m_budgets;
}

void BudgetLedger::setRetention(base::Milliseconds retention)
{
    m_retention = retention;
    extend(retention);
}

void BudgetLedger::extend(base::Milliseconds retention)
{
    for (auto &[program, budget] : m_budgets) {
        budget.lifetime.extend(retention);
    }
}

void BudgetLedger::expire(Time now)
{
    std::erase_if(m_budgets, [this, now](const auto &item) {
        const auto &[program, budget] = item;
        if (now <= budget.lifetime.expiry) {
            return false;
        }
        m_bytes -= std::accumulate(budget.entries.begin(), budget.entries.end(), memoryBytes(program),
                                   [](std::size_t bytes, const BudgetEntry &entry) {
                                       return bytes + memoryBytes(entry.attempt);
                                   });
        return true;
    });
}

}
