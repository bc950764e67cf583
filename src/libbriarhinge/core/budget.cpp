#include "core/budget.h"

#include <algorithm>

namespace briarhinge::core
{

namespace
{

/**
 * Number of grants into which a limit is divided. Larger grants save durable writes; smaller ones forfeit less of the
 * budget when an owner crashes.
 */
constexpr std::uint64_t grantsPerLimit = 8;

template <class Typed>
Typed lesser(Typed left, Typed right)
{
    return std::min(left, right);
}

template <class Typed>
Typed sum(const Typed &left, const Typed &right)
{
    return Typed(left.value() + right.value());
}

template <class Typed>
Typed difference(const Typed &left, const Typed &right)
{
    return Typed(left.value() - std::min(left.value(), right.value()));
}

Amounts grantChunk(const Amounts &limit)
{
    return {base::Tokens(limit.tokens.value() / grantsPerLimit), base::MicroMoney(limit.money.value() / grantsPerLimit),
            static_cast<std::uint32_t>(limit.calls / grantsPerLimit)};
}

Amounts atMost(const Amounts &amounts, const Amounts &bound)
{
    return {lesser(amounts.tokens, bound.tokens), lesser(amounts.money, bound.money),
            std::min(amounts.calls, bound.calls)};
}

}

Amounts operator+(const Amounts &left, const Amounts &right)
{
    return {sum(left.tokens, right.tokens), sum(left.money, right.money), left.calls + right.calls};
}

Amounts operator-(const Amounts &left, const Amounts &right)
{
    return {difference(left.tokens, right.tokens), difference(left.money, right.money),
            left.calls - std::min(left.calls, right.calls)};
}

bool fitsIn(const Amounts &amounts, const Amounts &bound)
{
    return amounts.tokens <= bound.tokens && amounts.money <= bound.money && amounts.calls <= bound.calls;
}

Budget::Budget(Amounts limit)
    : m_limit(limit)
{
}

Budget::Budget(Amounts limit, Amounts granted, Amounts spent)
    : m_limit(limit)
    , m_granted(granted)
    , m_spent(spent)
{
}

std::optional<std::string> Budget::insufficientResource(const Amounts &worstCase) const
{
    const Amounts left = m_limit - (m_spent + m_reserved);
    if (worstCase.tokens > left.tokens) {
        return "tokens";
    }
    if (worstCase.money > left.money) {
        return "money";
    }
    if (worstCase.calls > left.calls) {
        return "calls";
    }
    return std::nullopt;
}

std::optional<Amounts> Budget::missingGrant(const Amounts &worstCase) const
{
    const Amounts needed = m_spent + m_reserved + worstCase;
    if (fitsIn(needed, m_granted)) {
        return std::nullopt;
    }
    const Amounts wanted = atMost(needed + grantChunk(m_limit), m_limit);
    return wanted - m_granted;
}

Amounts Budget::initialGrant() const
{
    return grantChunk(m_limit);
}

void Budget::grant(const Amounts &amounts)
{
    // Grants that are stored concurrently overlap, and a grant whose confirmation was lost may be in the log twice.
    m_granted = atMost(m_granted + amounts, m_limit);
}

void Budget::reserve(const Amounts &worstCase)
{
    m_reserved = m_reserved + worstCase;
}

void Budget::settle(const Amounts &reserved, const Amounts &used)
{
    m_reserved = m_reserved - reserved;
    m_spent = m_spent + used;
}

void Budget::forfeitGrants()
{
    m_spent = m_granted;
    m_reserved = {};
}

const Amounts &Budget::limit() const
{
    return m_limit;
}

const Amounts &Budget::spent() const
{
    return m_spent;
}

const Amounts &Budget::reserved() const
{
    return m_reserved;
}

const Amounts &Budget::granted() const
{
    return m_granted;
}

}
