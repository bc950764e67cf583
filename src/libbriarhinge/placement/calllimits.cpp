#include "placement/calllimits.h"

#include <fmt/format.h>

namespace briarhinge::placement
{

namespace
{

constexpr std::size_t maxOvercommitFactor = 2;

template <class Key>
std::size_t callCount(const std::map<Key, std::size_t> &counts, const Key &key)
{
    const auto found = counts.find(key);
    return found == counts.end() ? 0 : found->second;
}

template <class Key>
void decrease(std::map<Key, std::size_t> &counts, const Key &key)
{
    const auto found = counts.find(key);
    if (found != counts.end() && --found->second == 0) {
        counts.erase(found);
    }
}

}

CallLimits::CallLimits(const CallBounds &bounds)
    : m_bounds(bounds)
{
}

std::optional<std::string> CallLimits::admit(const CallSource &source)
{
    if (callCount(m_accounts, source.account) >= m_bounds.perAccount) {
        return fmt::format("account \"{}\" has {} calls under way at this entry, its limit", source.account.value(),
                           m_bounds.perAccount);
    }
    if (callCount(m_programs, source.root) >= m_bounds.perProgram) {
        return fmt::format("program \"{}\" has {} calls under way, its limit", source.root.value(),
                           m_bounds.perProgram);
    }
    if (m_total >= m_bounds.total
        && (!outranksAny(source.priority) || m_total >= maxOvercommitFactor * m_bounds.total)) {
        return fmt::format("the entry has {} calls under way, its limit is {}", m_total, m_bounds.total);
    }
    ++m_total;
    ++m_accounts[source.account];
    ++m_programs[source.root];
    ++m_priorities[source.priority];
    return std::nullopt;
}

bool CallLimits::outranksAny(std::int32_t priority) const
{
    return !m_priorities.empty() && m_priorities.begin()->first < priority;
}

void CallLimits::recordCallEnded(const CallSource &source)
{
    --m_total;
    decrease(m_accounts, source.account);
    decrease(m_programs, source.root);
    decrease(m_priorities, source.priority);
}

}
