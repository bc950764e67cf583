#pragma once

#include "accounts/account.h"
#include "base/units.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <utility>

namespace briarhinge::accounts
{

/** How far the sum of all entries may exceed a cap, as agreed with the operators. */
struct UsageTolerance
{
    /** The tolerance applies to each span of this length. */
    base::Milliseconds window{5000};
    /** Share of a cap that may be exceeded. */
    double share = 0.1;
    /** Requests that may exceed it besides. */
    double slack = 20;

    /** @return how long an entry may use a permit after it has asked for it, so that the share is not used up */
    base::Milliseconds permitLifetime() const
    {
        return base::Milliseconds(static_cast<std::int64_t>(static_cast<double>(window.count()) * share * usedPart));
    }

    /** @return span of which no keeper may grant more than its part of a window: permits are used some time later */
    base::Milliseconds grantWindow() const
    {
        return window + permitLifetime();
    }

    /**
     * @param cap a cap
     * @return number of permits for each span of grantWindow()
     */
    double permitsPerWindow(const UsageCap &cap) const
    {
        return requestsPerWindow(cap) + excess(cap);
    }

    /**
     * @param cap a cap
     * @return number of permits that may be granted at once: the burst, or for a small account a whole program's requests as
     *         far as its cap holds them
     */
    double permitsAtOnce(const UsageCap &cap) const
    {
        return std::max(cap.burst, std::min(requestsPerWindow(cap), slack * programsPerSlack)) + excess(cap);
    }

private:
    /** Part of the tolerance that is used; the rest covers rounding and keepers that start anew. */
    static constexpr double usedPart = 0.5;
    /** A program of many sub-agents sends about one and a half times the agreed slack at once. */
    static constexpr double programsPerSlack = 1.5;

    double requestsPerWindow(const UsageCap &cap) const
    {
        return cap.requestsPerSecond * std::chrono::duration<double>(window).count() + cap.burst;
    }

    double excess(const UsageCap &cap) const
    {
        return requestsPerWindow(cap) * share * usedPart + slack * usedPart;
    }
};

/** Asks a keeper for permits to send requests of one account. */
struct UsageRequest
{
    base::AccountId account;
    UsageCap cap;
    /** Version of the configuration that declares the cap. */
    std::uint64_t version = 0;
    /** Requests that wait and don't begin a program. */
    std::uint32_t needed = 0;
    /** Requests that wait and begin a program. */
    std::uint32_t starts = 0;
    /** Further permits that the entry could use soon. */
    std::uint32_t spare = 0;
    /** Number of requests that a program usually sends. */
    double requestsPerProgram = 1;
    /** Earlier starts that came to nothing. */
    std::uint32_t returnedStarts = 0;
};

/** What a keeper grants. */
struct UsageGrant
{
    using Duration = std::chrono::steady_clock::duration;

    /** Permits for requests that don't begin a program. */
    std::uint32_t permits = 0;
    /** Permits for requests that begin a program. */
    std::uint32_t starts = 0;
    /** Time until the next permit, and until the next start, is free. */
    Duration nextPermit{0};
    Duration nextStart{0};
    /** Part of its cap that the account has used lately, as a multiple of the mean part of all accounts. */
    double relativeUse = 1;
};

/**
 * Grants permits for one of several equal shares of the quotas of all client accounts, so that the keepers together
 * never exceed a cap by more than the tolerance, whether they can reach each other or not.
 *
 * A cap holds for each span of the agreed length; what may be sent at once grows at its rate, so that a keeper that starts
 * anew, and doesn't know what it granted before, grants no more than others do. Answers an account that sends many times its
 * cap: a program that begins takes the requests that it will send from a second budget, which grows
 * steadily, and is refused while that is used up. Otherwise too many programs would begin, and hardly any would get permits
 * for all of its requests.
 *
 * Reads no clock itself. Not thread-safe.
 */
class UsageKeeper
{
public:
    using Time = std::chrono::steady_clock::time_point;

    /**
     * @param startTime the current time; permits that an earlier incarnation granted may still be used shortly after
     * @param tolerance how far caps may be exceeded
     * @param maxAccounts number of accounts beyond which those are forgotten that have sent nothing for long
     */
    UsageKeeper(Time startTime, const UsageTolerance &tolerance, std::size_t maxAccounts = 65'536);

    /**
     * Grants as many permits as are free: first to requests that wait and don't begin a program, then to those that do,
     * then spare ones as long as half of the span's permits are left.
     *
     * @param request the request; the cap of the highest version that was heard of holds
     * @param keepers number of keepers that share each cap; 0 if this one has no share
     * @param now current time
     * @return the permits
     */
    UsageGrant decide(const UsageRequest &request, std::size_t keepers, Time now);

    /** @return number of accounts that are remembered */
    std::size_t size() const;

private:
    struct Budget
    {
        std::uint64_t version = 0;
        UsageCap cap;
        /** Numbers of permits granted lately, by the time of the first of each; those of a tenth of a second together. */
        std::deque<std::pair<Time, std::uint32_t>> granted;
        std::uint32_t grantedCount = 0;
        /** Permits that may be granted at once; grows at the rate of the cap. */
        double gained = 0;
        /** Requests that programs which begin may still promise to send; negative when one has promised more. */
        double promises = 0;
        Time updatedAt;
    };

    Budget &updateBudget(const UsageRequest &request, std::size_t keepers, Time now);
    void update(Budget &budget, std::size_t keepers, Time now) const;
    /** @return number of permits that are free */
    std::uint32_t freePermits(const Budget &budget, std::size_t keepers) const;
    double permitsPerWindow(const Budget &budget, std::size_t keepers) const;
    static void grant(Budget &budget, std::uint32_t permits, Time now);
    UsageGrant::Duration untilNextPermit(const Budget &budget, std::size_t keepers, Time now) const;
    double relativeUse(const Budget &budget, Time now);
    void forgetIdle(std::size_t keepers, Time now);

    /** Time from which on permits are gained. */
    Time m_since;
    const UsageTolerance m_tolerance;
    const std::size_t m_maxAccounts;
    std::map<base::AccountId, Budget> m_budgets;
    /** Part of all caps that was used lately, and when that was computed. */
    double m_meanUse = 0;
    Time m_meanUseAt;
};

}
