#include "dispatch/ratelimits.h"

#include <algorithm>

namespace briarhinge::dispatch
{

RateLimits::RateLimits(std::size_t maxRunners)
    : m_maxRunners(maxRunners)
{
}

bool RateLimits::isLower(const RateStatement &statement, const RateStatement &known) const
{
    return statement.limit && (!known.limit || *statement.limit < *known.limit);
}

bool RateLimits::record(const RunnerId &id, const RateStatement &statement)
{
    const auto found = m_statements.find(id);
    if (found == m_statements.end()) {
        if (!statement.limit) {
            return false;
        }
        m_statements.emplace(id, statement);
        trim();
        return true;
    }
    RateStatement &known = found->second;
    if (statement.startedAt < known.startedAt) {
        return false;
    }
    if (statement.saysSameAs(known)) {
        known.earliest = std::max(known.earliest, statement.earliest);
        known.latest = std::max(known.latest, statement.latest);
        return false;
    }
    const bool isLaterStart = statement.startedAt > known.startedAt;
    const bool isCertainlyLater = statement.earliest >= known.latest;
    const bool mayBeLater = statement.latest >= known.earliest;
    if (!isLaterStart && !isCertainlyLater && !(mayBeLater && isLower(statement, known))) {
        return false;
    }
    const bool isOtherLimit = known.limit != statement.limit;
    known = statement;
    return isOtherLimit;
}

void RateLimits::recordRegistration(const RunnerId &id, std::uint64_t startedAt)
{
    const auto found = m_statements.find(id);
    if (found != m_statements.end() && startedAt > found->second.startedAt) {
        m_statements.erase(found);
    }
}

std::optional<requests::RequestRate> RateLimits::limit(const RunnerId &id) const
{
    const RateStatement *known = statement(id);
    return known == nullptr ? std::nullopt : known->limit;
}

const RateStatement *RateLimits::statement(const RunnerId &id) const
{
    const auto found = m_statements.find(id);
    return found == m_statements.end() ? nullptr : &found->second;
}

const std::map<RunnerId, RateStatement> &RateLimits::statements() const
{
    return m_statements;
}

void RateLimits::trim()
{
    if (m_statements.size() > m_maxRunners) {
        m_statements.erase(
            std::min_element(m_statements.begin(), m_statements.end(), [](const auto &left, const auto &right) {
                return left.second.latest < right.second.latest;
            }));
    }
}

}
