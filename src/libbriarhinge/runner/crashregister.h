#pragma once

#include "base/units.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace briarhinge::runner
{

/**
 * Tracks by digest which requests were running when the upstream crashed. Uses no clock and no locks.
 *
 * A request that was running during a crash is a suspect and runs alone the next time. If the upstream crashes again
 * while it runs alone, it is quarantined. Records expire, which bounds the size of the register.
 */
class CrashRegister
{
public:
    /** @param retention how long suspects and quarantined requests are retained */
    explicit CrashRegister(base::Milliseconds retention);

    /**
     * Records that the upstream crashed while a request was running.
     *
     * @param digest digest of the request
     * @param alone whether the request ran alone, as a suspect
     * @param now current time
     * @return whether the request is now quarantined
     */
    bool recordCrash(const std::string &digest, bool alone, base::Timestamp now);

    /** Clears a suspect that ran without a crash; a quarantine stays. @param digest digest of the request */
    void recordSurvival(const std::string &digest);

    /**
     * Reserves the trial of a suspect for one entry for a limited time. Marks the digest as a suspect.
     *
     * @param digest digest of the request
     * @param holder entry that asks for the trial
     * @param now current time
     * @return the entry that holds the reservation: the given one, or another that reserved it earlier
     */
    std::string reserve(const std::string &digest, const std::string &holder, base::Timestamp now);

    /**
     * @param digest digest of a request
     * @param now current time
     * @return whether the trial of the request is reserved for an entry
     */
    bool isReserved(const std::string &digest, base::Timestamp now) const;

    /** @param digest digest of a request @return whether the upstream of this runner crashed while it was running */
    bool hasCrashedUpstream(const std::string &digest) const;

    /** Adopts a quarantine reported by an entry. @param digest digest of the request @param now current time */
    void quarantine(const std::string &digest, base::Timestamp now);

    /** @param digest digest of a request @return whether the request must run alone */
    bool isSuspect(const std::string &digest) const;

    /** @param digest digest of a request @return whether the request must not run */
    bool isQuarantined(const std::string &digest) const;

    /** @return digests of all quarantined requests */
    std::vector<std::string> quarantined() const;

    /** Removes records that are older than the retention time. @param now current time */
    void expire(base::Timestamp now);

private:
    struct CrashRecord
    {
        bool quarantined = false;
        base::Timestamp updatedAt;
        bool crashedHere = false;
        /** Entry that holds the reservation of the trial. */
        std::string holder;
        base::Timestamp reservedUntil;
    };

    const base::Milliseconds m_retention;
    std::map<std::string, CrashRecord> m_records;
};

}
