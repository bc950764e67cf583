#include "dispatch/leavingrunners.h"

#include <algorithm>

namespace briarhinge::dispatch
{

LeavingRunners::LeavingRunners(std::size_t maxGone)
    : m_maxGone(maxGone)
{
}

bool LeavingRunners::add(const RunnerId &id, std::uint64_t startedAt, bool isRegistered)
{
    const auto [found, isNew] = m_runners.try_emplace(id);
    Incarnation &incarnation = found->second;
    if (!isNew && startedAt <= incarnation.startedAt) {
        return false;
    }
    incarnation.startedAt = startedAt;
    incarnation.isRegistered = isRegistered;
    if (!isRegistered) {
        recordRemoval(id);
    }
    return true;
}

void LeavingRunners::recordRegistration(const RunnerId &id, std::uint64_t startedAt)
{
    const auto found = m_runners.find(id);
    if (found == m_runners.end()) {
        return;
    }
    if (startedAt > found->second.startedAt) {
        m_runners.erase(found);
    } else {
        found->second.isRegistered = true;
    }
}

void LeavingRunners::recordRemoval(const RunnerId &id)
{
    const auto found = m_runners.find(id);
    if (found == m_runners.end()) {
        return;
    }
    found->second.isRegistered = false;
    std::erase(m_gone, id);
    m_gone.push_back(id);
    trim();
}

void LeavingRunners::trim()
{
    while (m_gone.size() > m_maxGone) {
        const auto oldest = m_runners.find(m_gone.front());
        if (oldest != m_runners.end() && !oldest->second.isRegistered) {
            m_runners.erase(oldest);
        }
        m_gone.pop_front();
    }
}

bool LeavingRunners::contains(const RunnerId &id, std::uint64_t startedAt) const
{
    const auto found = m_runners.find(id);
    return found != m_runners.end() && startedAt <= found->second.startedAt;
}

std::size_t LeavingRunners::size() const
{
    return m_runners.size();
}

}
