#pragma once

#include "base/units.h"

#include <cstdint>
#include <optional>
#include <string>

namespace briarhinge::core
{

/** Amounts of the resources that a budget counts. */
struct Amounts
{
    base::Tokens tokens;
    base::MicroMoney money;
    std::uint32_t calls = 0;

    bool operator==(const Amounts &) const = default;
};

/** @return the sum of both, resource by resource */
Amounts operator+(const Amounts &left, const Amounts &right);

/** @return left less right, resource by resource, never below zero */
Amounts operator-(const Amounts &left, const Amounts &right);

/** @return whether every resource of @p amounts is at most that of @p bound */
bool fitsIn(const Amounts &amounts, const Amounts &bound);

/**
 * The budget that a root program shares with its sub-programs.
 *
 * Spending needs a grant that is already durable, so that what a dead owner may have spent is known to be at most
 * what it was granted.
 */
class Budget
{
public:
    Budget() = default;

    /** @param limit what may be spent in total */
    explicit Budget(Amounts limit);

    /**
     * Restores an account.
     *
     * @param limit what may be spent in total
     * @param granted what was granted durably
     * @param spent what was spent
     */
    Budget(Amounts limit, Amounts granted, Amounts spent);

    /** @return the resource that can't cover @p worstCase within the limit, or nothing when all can */
    std::optional<std::string> shortfall(const Amounts &worstCase) const;

    /** @return what must still be granted durably before @p worstCase may be reserved; nothing when granted already */
    std::optional<Amounts> missingGrant(const Amounts &worstCase) const;

    /** @return the grant that comes with the opening of a program, so that its first calls need no write of their own */
    Amounts firstGrant() const;

    /** Adds a durable grant; all grants together stay within the limit. @param amounts what was granted */
    void grant(const Amounts &amounts);

    /** Sets @p worstCase aside for a call. */
    void reserve(const Amounts &worstCase);

    /** Replaces a reservation by what was really used. */
    void settle(const Amounts &reserved, const Amounts &used);

    /** Counts all that was granted as spent; for the owner that takes over from a dead one. */
    void forfeitGrants();

    /** @return what may be spent in total */
    const Amounts &limit() const;

    /** @return what was spent for certain */
    const Amounts &spent() const;

    /** @return what is set aside for calls under way */
    const Amounts &reserved() const;

    /** @return what was granted durably in total */
    const Amounts &granted() const;

private:
    Amounts m_limit;
    Amounts m_granted;
    Amounts m_reserved;
    Amounts m_spent;
};

}
