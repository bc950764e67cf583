#pragma once

#include "base/units.h"

#include <cstdint>
#include <optional>
#include <string>

namespace briarhinge::core
{

/** Amounts of the resources that a budget limits. */
struct Amounts
{
    base::Tokens tokens;
    base::MicroMoney money;
    std::uint32_t calls = 0;

    bool operator==(const Amounts &) const = default;
};

/** @return the sum of @p left and @p right for each resource */
Amounts operator+(const Amounts &left, const Amounts &right);

/** @return @p left minus @p right for each resource, clamped at zero */
Amounts operator-(const Amounts &left, const Amounts &right);

/** @return whether no resource of @p amounts exceeds that of @p bound */
bool fitsIn(const Amounts &amounts, const Amounts &bound);

/**
 * The budget that a root program shares with its sub-programs.
 *
 * Only durably granted amounts may be spent. What a crashed owner has spent is therefore bounded by its grants, which
 * the next owner reads from the log.
 */
class Budget
{
public:
    Budget() = default;

    /** @param limit the maximum that the program tree may spend */
    explicit Budget(Amounts limit);

    /**
     * Restores a budget from stored values.
     *
     * @param limit the maximum that the program tree may spend
     * @param granted the sum of the durable grants
     * @param spent the sum of the settled calls
     */
    Budget(Amounts limit, Amounts granted, Amounts spent);

    /**
     * Checks whether the limit leaves room for a call.
     *
     * @param worstCase the most that the call can use
     * @return the name of the first resource of which too little is left, or nothing if the call fits
     */
    std::optional<std::string> insufficientResource(const Amounts &worstCase) const;

    /**
     * Computes the grant that must be durable before a call may be dispatched. It includes a reserve, so that the
     * following calls need no write.
     *
     * @param worstCase the most that the call can use
     * @return the additional grant, or nothing if the present grants cover the call
     */
    std::optional<Amounts> missingGrant(const Amounts &worstCase) const;

    /** @return the grant that is stored with the opening of a program, so that its first calls need no extra write */
    Amounts initialGrant() const;

    /**
     * Adds a durable grant. The sum of all grants is clamped to the limit.
     *
     * @param amounts the granted amounts
     */
    void grant(const Amounts &amounts);

    /**
     * Reserves amounts for a call.
     *
     * @param worstCase the most that the call can use
     */
    void reserve(const Amounts &worstCase);

    /**
     * Replaces the reservation of a call by its actual usage.
     *
     * @param reserved the amounts that were reserved for the call
     * @param used the amounts that the call consumed
     */
    void settle(const Amounts &reserved, const Amounts &used);

    /** Counts all granted amounts as spent. Called by the owner that takes over from a crashed one. */
    void forfeitGrants();

    /** @return the maximum that the program tree may spend */
    const Amounts &limit() const;

    /** @return the amounts used by settled calls */
    const Amounts &spent() const;

    /** @return the amounts reserved for unfinished calls */
    const Amounts &reserved() const;

    /** @return the sum of the durable grants */
    const Amounts &granted() const;

private:
    Amounts m_limit;
    Amounts m_granted;
    Amounts m_reserved;
    Amounts m_spent;
};

}
