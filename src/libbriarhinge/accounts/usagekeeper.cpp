#include "accounts/usagekeeper.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace briarhinge::accounts
{

namespace
{

using Seconds = std::chrono::duration<double>;

/** An entry asks again after this time if the keeper has no share. */
constexpr base::Milliseconds noShareDelay{250};
/** Part of a span's permits that spare ones leave to requests that wait at other entries. */
constexpr double partLeftBySpare = 0.5;
/** Permits of this time are counted together. */
constexpr base::Milliseconds countingTime{100};
constexpr Seconds longestDelay{60};

UsageGrant::Duration timeUntil(double missing, double perSecond)
{
    const Seconds wait(std::max(0.0, missing) / std::max(perSecond, 1e-3));
    return std::chrono::duration_cast<UsageGrant::Duration>(std::min(wait, longestDelay));
}

std::uint32_t wholePart(double amount)
{
    return amount <= 0 ? 0 : static_cast<std::uint32_t>(std::floor(amount));
}

double shareOf(double amount, std::size_t keepers)
{
    return amount / static_cast<double>(keepers);
}

}

UsageKeeper::UsageKeeper(Time startTime, const UsageTolerance &tolerance, std::size_t maxAccounts)
    : m_since(startTime + tolerance.permitLifetime())
    , m_tolerance(tolerance)
    , m_maxAccounts(maxAccounts)
{
}

UsageGrant UsageKeeper::decide(const UsageRequest &request, std::size_t keepers, Time now)
{
    if (keepers == 0) {
        // Whoever took the place of this keeper grants its share; what it granted before must be used when it is back.
        m_budgets.clear();
        m_since = now + m_tolerance.permitLifetime();
        return {0, 0, noShareDelay, noShareDelay};
    }
    Budget &budget = updateBudget(request, keepers, now);
    const double programSize = std::max(1.0, request.requestsPerProgram);
    budget.promises += request.returnedStarts * programSize;
    std::uint32_t left = freePermits(budget, keepers);
    UsageGrant result;
    result.permits = std::min(request.needed, left);
    left -= result.permits;
    while (result.starts < request.starts && left > 0 && budget.promises > 0) {
        ++result.starts;
        --left;
        budget.promises -= programSize;
    }
    const std::uint32_t reserve =
        wholePart(shareOf(m_tolerance.permitsPerWindow(budget.cap), keepers) * partLeftBySpare);
    result.permits += std::min(request.spare, left - std::min(left, reserve));
    grant(budget, result.permits + result.starts, now);
    result.relativeUse = relativeUse(budget, now);
    result.nextPermit = untilNextPermit(budget, keepers, now);
    result.nextStart =
        std::max(result.nextPermit, timeUntil(-budget.promises, shareOf(budget.cap.requestsPerSecond, keepers)));
    return result;
}

UsageKeeper::Budget &UsageKeeper::updateBudget(const UsageRequest &request, std::size_t keepers, Time now)
{
    const auto [found, isNew] = m_budgets.try_emplace(request.account);
    Budget &budget = found->second;
    if (isNew) {
        budget.version = request.version;
        budget.cap = request.cap;
        budget.updatedAt = m_since;
    }
    update(budget, keepers, now);
    if (request.version > budget.version) {
        budget.version = request.version;
        budget.cap = request.cap;
        update(budget, keepers, now);
    }
    if (isNew && m_budgets.size() > m_maxAccounts) {
        forgetIdle(keepers, now);
    }
    return budget;
}

void UsageKeeper::update(Budget &budget, std::size_t keepers, Time now) const
{
    const Seconds elapsed(std::max(Time::duration(0), now - budget.updatedAt));
    budget.updatedAt = std::max(budget.updatedAt, now);
    const double most = std::max(1.0, shareOf(budget.cap.burst, keepers));
    const double gain = elapsed.count() * shareOf(budget.cap.requestsPerSecond, keepers);
    budget.gained =
        std::min(budget.gained + gain, std::max(1.0, shareOf(m_tolerance.permitsAtOnce(budget.cap), keepers)));
    budget.promises = std::min(budget.promises + gain, most);
    while (!budget.granted.empty() && now - budget.granted.front().first > m_tolerance.grantWindow() + countingTime) {
        budget.grantedCount -= budget.granted.front().second;
        budget.granted.pop_front();
    }
}

std::uint32_t UsageKeeper::freePermits(const Budget &budget, std::size_t keepers) const
{
    return wholePart(std::min(permitsPerWindow(budget, keepers) - budget.grantedCount, budget.gained));
}

double UsageKeeper::permitsPerWindow(const Budget &budget, std::size_t keepers) const
{
    return std::max(1.0, shareOf(m_tolerance.permitsPerWindow(budget.cap), keepers));
}

void UsageKeeper::grant(Budget &budget, std::uint32_t permits, Time now)
{
    if (permits == 0) {
        return;
    }
    if (budget.granted.empty() || now - budget.granted.back().first > countingTime) {
        budget.granted.emplace_back(now, 0);
    }
    budget.granted.back().second += permits;
    budget.gained -= permits;
    budget.grantedCount += permits;
}

UsageGrant::Duration UsageKeeper::untilNextPermit(const Budget &budget, std::size_t keepers, Time now) const
{
    if (freePermits(budget, keepers) > 0) {
        return UsageGrant::Duration(0);
    }
    const auto untilGained = timeUntil(1 - budget.gained, shareOf(budget.cap.requestsPerSecond, keepers));
    const bool isWindowFull = budget.grantedCount + 1 > permitsPerWindow(budget, keepers) && !budget.granted.empty();
    return isWindowFull
        ? std::max(untilGained, budget.granted.front().first + m_tolerance.grantWindow() + countingTime - now)
        : untilGained;
}

double UsageKeeper::relativeUse(const Budget &budget, Time now)
{
    if (now - m_meanUseAt >= countingTime) {
        m_meanUseAt = now;
        double used = 0;
        double most = 0;
        for (const auto &[account, other] : m_budgets) {
            const bool isRecent = now - other.updatedAt <= m_tolerance.grantWindow();
            used += isRecent ? other.grantedCount : 0;
            most += m_tolerance.permitsPerWindow(other.cap);
        }
        m_meanUse = most > 0 ? used / most : 0;
    }
    const double use = budget.grantedCount / m_tolerance.permitsPerWindow(budget.cap);
    return m_meanUse > 0 ? use / m_meanUse : 1;
}

void UsageKeeper::forgetIdle(std::size_t keepers, Time now)
{
    for (auto entry = m_budgets.begin(); entry != m_budgets.end();) {
        Budget &budget = entry->second;
        const bool isAsked = budget.updatedAt == now;
        update(budget, keepers, now);
        const bool isAtRest = budget.granted.empty() && budget.promises >= 0;
        entry = isAtRest && !isAsked ? m_budgets.erase(entry) : std::next(entry);
    }
}

std::size_t UsageKeeper::size() const
{
    return m_budgets.size();
}

}
