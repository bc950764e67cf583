#pragma once

#include "base/units.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace briarhinge::runner
{

/**
 * Which requests were running when the upstream died, by digest. Free of clocks and locks.
 *
 * A request that ran when the upstream died is a suspect and runs alone the next time. One that ran alone when it died
 * again is quarantined. What is known is forgotten after a time, so the register stays bounded.
 */
class CrashRegister
{
public:
    /** @param keepTime how long a suspect and a quarantine are remembered */
    explicit CrashRegister(base::Milliseconds keepTime);

    /**
     * The upstream died while a request ran.
     *
     * @param digest the request
     * @param alone whether it ran alone, as a suspect
     * @param now the time
     * @return whether the request is quarantined now
     */
    bool crashed(const std::string &digest, bool alone, base::Timestamp now);

    /** The upstream outlived a request. @param digest the request */
    void survived(const std::string &digest);

    /**
     * Reserves the trial of a suspect for one entry, for a time. Makes the digest a suspect.
     *
     * @param digest the request
     * @param holder the entry
     * @param now the time
     * @return the entry that may try it: the holder, or another that was first
     */
    std::string reserve(const std::string &digest, const std::string &holder, base::Timestamp now);

    /** @param digest a request @param now the time @return whether its trial is reserved for an entry */
    bool isReserved(const std::string &digest, base::Timestamp now) const;

    /** @param digest a request @return whether the upstream beside this process died while it ran */
    bool hasCrashed(const std::string &digest) const;

    /** Takes over a quarantine from elsewhere. @param digest the request @param now the time */
    void quarantine(const std::string &digest, base::Timestamp now);

    /** @param digest a request @return whether it must run alone */
    bool isSuspect(const std::string &digest) const;

    /** @param digest a request @return whether it must not run */
    bool isQuarantined(const std::string &digest) const;

    /** @return every quarantined digest */
    std::vector<std::string> quarantined() const;

    /** Forgets what is older than the time to keep. @param now the time */
    void expire(base::Timestamp now);

private:
    struct Suspicion
    {
        bool quarantined = false;
        base::Timestamp since;
        bool crashedHere = false;
        /** The entry that tries it, until its time is over. */
        std::string holder;
        base::Timestamp heldUntil;
    };

    const base::Milliseconds m_keepTime;
    std::map<std::string, Suspicion> m_suspicions;
};

}
