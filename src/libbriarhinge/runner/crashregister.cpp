#include "runner/crashregister.h"

namespace briarhinge::runner
{

CrashRegister::CrashRegister(base::Milliseconds keepTime)
    : m_keepTime(keepTime)
{
}

bool CrashRegister::crashed(const std::string &digest, bool alone, base::Timestamp now)
{
    Suspicion &suspicion = m_suspicions[digest];
    suspicion.quarantined = suspicion.quarantined || alone;
    suspicion.since = now;
    return suspicion.quarantined;
}

void CrashRegister::survived(const std::string &digest)
{
    const auto found = m_suspicions.find(digest);
    if (found != m_suspicions.end() && !found->second.quarantined) {
        m_suspicions.erase(found);
    }
}

void CrashRegister::quarantine(const std::string &digest, base::Timestamp now)
{
    m_suspicions[digest] = {true, now};
}

bool CrashRegister::isSuspect(const std::string &digest) const
{
    return m_suspicions.contains(digest);
}

bool CrashRegister::isQuarantined(const std::string &digest) const
{
    const auto found = m_suspicions.find(digest);
    return found != m_suspicions.end() && found->second.quarantined;
}

std::vector<std::string> CrashRegister::quarantined() const
{
    std::vector<std::string> digests;
    for (const auto &[digest, suspicion] : m_suspicions) {
        if (suspicion.quarantined) {
            digests.push_back(digest);
        }
    }
    return digests;
}

void CrashRegister::expire(base::Timestamp now)
{
    std::erase_if(m_suspicions, [&](const auto &item) {
        return item.second.since + m_keepTime < now;
    });
}

}
