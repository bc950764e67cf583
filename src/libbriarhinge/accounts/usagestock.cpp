#include "accounts/usagestock.h"

#include <algorithm>
#include <cmath>

namespace briarhinge::accounts
{

namespace
{

using Seconds = std::chrono::duration<double>;

/** Time constant of the request rate: callers' load changes within a second. */
constexpr Seconds rateTime{1};
/** Fewer expected requests than this are not worth a permit ahead: each would wait for a keeper anyway. */
constexpr double minExpected = 2;

double decayed(double recent, Seconds age)
{
    return recent * std::exp(-std::max(0.0, age / rateTime));
}

}

UsageStock::UsageStock(base::Milliseconds permitLifetime)
    : m_permitLifetime(permitLifetime)
{
}

std::uint32_t UsageStock::atHand(Stock &stock, Time now)
{
    while (!stock.batches.empty() && (stock.batches.front().expiresAt <= now || stock.batches.front().count == 0)) {
        stock.batches.pop_front();
    }
    std::uint32_t count = 0;
    for (const Batch &batch : stock.batches) {
        count += batch.count;
    }
    return count;
}

double UsageStock::expectedRequests(const Stock &stock, Time now) const
{
    return decayed(stock.recentRequests, now - stock.updatedAt) / rateTime.count() * Seconds(m_permitLifetime).count();
}

std::optional<UsagePermit> UsageStock::take(const base::AccountId &account, Time now)
{
    Stock &stock = m_stocks[account];
    stock.recentRequests = decayed(stock.recentRequests, now - stock.updatedAt) + 1;
    stock.updatedAt = now;
    if (atHand(stock, now) == 0) {
        return std::nullopt;
    }
    Batch &batch = stock.batches.front();
    --batch.count;
    return UsagePermit{batch.expiresAt};
}

void UsageStock::add(const base::AccountId &account, std::uint32_t count, Time askedAt)
{
    if (count > 0) {
        m_stocks[account].batches.push_back({askedAt + m_permitLifetime, count});
    }
}

void UsageStock::giveBack(const base::AccountId &account, const UsagePermit &permit)
{
    auto &batches = m_stocks[account].batches;
    const auto later = std::find_if(batches.begin(), batches.end(), [&permit](const Batch &batch) {
        return batch.expiresAt > permit.expiresAt;
    });
    batches.insert(later, {permit.expiresAt, 1});
}

std::uint32_t UsageStock::spare(const base::AccountId &account, Time now)
{
    Stock &stock = m_stocks[account];
    const double expected = expectedRequests(stock, now);
    if (expected < minExpected) {
        return 0;
    }
    const std::uint32_t count = atHand(stock, now);
    const auto wanted = static_cast<std::uint32_t>(expected);
    return wanted - std::min(wanted, count);
}

bool UsageStock::isLow(const base::AccountId &account, Time now)
{
    Stock &stock = m_stocks[account];
    const double expected = expectedRequests(stock, now);
    return expected >= minExpected && atHand(stock, now) < expected / 2;
}

base::Milliseconds UsageStock::permitLifetime() const
{
    return m_permitLifetime;
}

}
