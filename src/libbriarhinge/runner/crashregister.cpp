#include "runner/crashregister.h"

namespace briarhinge::runner
{

namespace
{

/** Limits how long an entry that died during a trial prevents the request from running. */
constexpr base::Milliseconds reservationTime{10'000};

}

CrashRegister::CrashRegister(base::Milliseconds keepTime)
    : m_keepTime(keepTime)
{
}

bool CrashRegister::crashed(const std::string &digest, bool alone, base::Timestamp now)
{
    Suspicion &suspicion = m_suspicions[digest];
    suspicion.quarantined = suspicion.quarantined || alone;
    suspicion.since = now;
    suspicion.crashedHere = true;
    return suspicion.quarantined;
}

std::string CrashRegister::reserve(const std::string &digest, const std::string &holder, base::Timestamp now)
{
    Suspicion &suspicion = m_suspicions[digest];
    suspicion.since = now;
    if (suspicion.holder == holder || suspicion.heldUntil <= now) {
        suspicion.holder = holder;
        suspicion.heldUntil = now + reservationTime;
    }
    return suspicion.holder;
}

bool CrashRegister::isReserved(const std::string &digest, base::Timestamp now) const
{
    const auto found = m_suspicions.find(digest);
    return found != m_suspicions.end() && now < found->second.heldUntil;
}

bool CrashRegister::hasCrashed(const std::string &digest) const
{
    const auto found = m_suspicions.find(digest);
    return found != m_suspicions.end() && found->second.crashedHere;
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
    Suspicion &suspicion = m_suspicions[digest];
    suspicion.quarantined = true;
    suspicion.since = now;
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
