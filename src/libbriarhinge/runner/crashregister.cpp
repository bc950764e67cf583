#include "runner/crashregister.h"

namespace briarhinge::runner
{

namespace
{

/** Limits how long an entry that died during a trial prevents the request from running. */
constexpr base::Milliseconds reservationTimeout{10'000};

}

CrashRegister::CrashRegister(base::Milliseconds retention)
    : m_retention(retention)
{
}

bool CrashRegister::recordCrash(const std::string &digest, bool alone, base::Timestamp now)
{
    CrashRecord &record = m_records[digest];
    record.quarantined = record.quarantined || alone;
    record.updatedAt = now;
    record.crashedHere = true;
    return record.quarantined;
}

std::string CrashRegister::reserve(const std::string &digest, const std::string &holder, base::Timestamp now)
{
    CrashRecord &record = m_records[digest];
    record.updatedAt = now;
    if (record.holder == holder || record.reservedUntil <= now) {
        record.holder = holder;
        record.reservedUntil = now + reservationTimeout;
    }
    return record.holder;
}

bool CrashRegister::isReserved(const std::string &digest, base::Timestamp now) const
{
    const auto found = m_records.find(digest);
    return found != m_records.end() && now < found->second.reservedUntil;
}

bool CrashRegister::hasCrashedUpstream(const std::string &digest) const
{
    const auto found = m_records.find(digest);
    return found != m_records.end() && found->second.crashedHere;
}

void CrashRegister::recordSurvival(const std::string &digest)
{
    const auto found = m_records.find(digest);
    if (found != m_records.end() && !found->second.quarantined) {
        m_records.erase(found);
    }
}

void CrashRegister::quarantine(const std::string &digest, base::Timestamp now)
{
    CrashRecord &record = m_records[digest];
    record.quarantined = true;
    record.updatedAt = now;
}

bool CrashRegister::isSuspect(const std::string &digest) const
{
    return m_records.contains(digest);
}

bool CrashRegister::isQuarantined(const std::string &digest) const
{
    const auto found = m_records.find(digest);
    return found != m_records.end() && found->second.quarantined;
}

std::vector<std::string> CrashRegister::quarantined() const
{
    std::vector<std::string> digests;
    for (const auto &[digest, record] : m_records) {
        if (record.quarantined) {
            digests.push_back(digest);
        }
    }
    return digests;
}

void CrashRegister::expire(base::Timestamp now)
{
    std::erase_if(m_records, [&](const auto &item) {
        return item.second.updatedAt + m_retention < now;
    });
}

}
