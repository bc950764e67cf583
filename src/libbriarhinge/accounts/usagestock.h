#pragma once

#include "base/ids.h"
#include "base/units.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

namespace briarhinge::accounts
{

/** Allows one request of an account. */
struct UsagePermit
{
    std::chrono::steady_clock::time_point expiresAt;
};

/**
 * The permits that one entry has got ahead for the requests of client accounts, and how many it should have: as many as are
 * used before they expire. An account with few requests at this entry gets none ahead.
 *
 * Reads no clock itself. Not thread-safe.
 */
class UsageStock
{
public:
    using Time = std::chrono::steady_clock::time_point;

    /** @param permitLifetime how long a permit may be used after it was asked for */
    explicit UsageStock(base::Milliseconds permitLifetime);

    /**
     * Records a request of an account, and takes a permit for it if one is at hand.
     *
     * @param account the account
     * @param now current time
     * @return the permit
     */
    std::optional<UsagePermit> take(const base::AccountId &account, Time now);

    /**
     * Adds permits.
     *
     * @param account the account
     * @param count number of permits
     * @param askedAt time at which they were asked for
     */
    void add(const base::AccountId &account, std::uint32_t count, Time askedAt);

    /**
     * Takes a permit back for a request that no runner got.
     *
     * @param account the account
     * @param permit the permit
     */
    void giveBack(const base::AccountId &account, const UsagePermit &permit);

    /**
     * @param account the account
     * @param now current time
     * @return number of permits beyond those at hand that will be used before they expire
     */
    std::uint32_t spare(const base::AccountId &account, Time now);

    /**
     * @param account the account
     * @param now current time
     * @return whether so few permits are at hand that the next ones should be asked for
     */
    bool isLow(const base::AccountId &account, Time now);

    /** @return how long a permit may be used after it was asked for */
    base::Milliseconds permitLifetime() const;

private:
    struct Batch
    {
        Time expiresAt;
        std::uint32_t count = 0;
    };

    struct Stock
    {
        /** In the order in which they expire. */
        std::deque<Batch> batches;
        /** Requests lately, each weighted less the longer it is ago. */
        double recentRequests = 0;
        Time updatedAt;
    };

    static std::uint32_t atHand(Stock &stock, Time now);
    double expectedRequests(const Stock &stock, Time now) const;

    const base::Milliseconds m_permitLifetime;
    std::unordered_map<base::AccountId, Stock> m_stocks;
};

}
