#pragma once

#include "base/units.h"
#include "placement/crash.h"
#include "placement/runnerhealth.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace briarhinge::placement
{

/** How to handle a request with a given digest. */
enum class SuspectVerdict {
    /** Not a suspect: runs normally. */
    Clear,
    /** Suspect: runs alone, and the digest is on trial from now on. */
    RunAlone,
    /** Another request with the same digest is on trial: wait until it ends. */
    Wait,
    /** Crashed too many runners: must not run. */
    Quarantined,
};

/** Bounds of a SuspectTable. */
struct SuspectLimits
{
    /** Number of crashes after which a request is quarantined. */
    std::size_t crashesUntilQuarantine = 3;
    /** Maximum number of suspects, of quarantined requests, and of crashes. */
    std::size_t maxRecords = 4096;
    /** How long suspects and quarantined requests are remembered. */
    base::Milliseconds retention{600'000};
};

/**
 * Requests that were running when a runner crashed, by digest. Bounded in size; not thread-safe.
 *
 * After one crash a digest is a suspect: its requests run alone, one at a time. A request that completes is cleared of
 * all crashes known by then. Once a request is quarantined, the crashes counted for it no longer count for others.
 *
 * Reports of one crash may come from several entries, in any order and more than once.
 */
class SuspectTable
{
public:
    /** @param limits the bounds */
    explicit SuspectTable(const SuspectLimits &limits);

    /** @return whether no request has to be checked */
    bool isEmpty() const;

    /**
     * Decides how to handle a request; puts its digest on trial if the result is RunAlone.
     *
     * @param digest digest of the request
     * @param now current time
     * @return how to handle the request now
     */
    SuspectVerdict admit(const base::Digest &digest, SteadyTime now);

    /**
     * The same for a request whose digest is not known yet; takes a prompt that begins with a quarantined one for
     * quarantined.
     *
     * @param content what the request asks for
     * @param now current time
     * @return how to handle the request now
     */
    SuspectVerdict admit(const RequestContent &content, SteadyTime now);

    /**
     * Makes other requests with the same digest wait until endTrial(), for example while a crash is being confirmed.
     *
     * @param request the request
     * @param now current time
     */
    void beginTrial(const CrashedRequest &request, SteadyTime now);

    /**
     * Ends the trial of a request.
     *
     * @param digest digest of the request
     * @param hasSurvived whether the request completed, which clears the suspicion
     */
    void endTrial(const base::Digest &digest, bool hasSurvived);

    /**
     * Identifies the crash that a request which is sent now would cause.
     *
     * @param runner the runner
     * @param startedAt start of its incarnation in Unix milliseconds, 0 when unknown
     * @return the id of the crash
     */
    CrashId nextCrash(const std::string &runner, std::uint64_t startedAt) const;

    /** @param crash a crash @return whether it was recorded */
    bool knows(const CrashId &crash) const;

    /** @param runner a runner @return whether a crash of any of its incarnations is known */
    bool hasCrashed(const std::string &runner) const;

    /**
     * Records a crash.
     *
     * @param report the crash and the requests that were running
     * @param now current time
     * @return digests of the requests that are quarantined from now on
     */
    std::vector<base::Digest> recordCrash(const CrashReport &report, SteadyTime now);

    /**
     * Quarantines a request at once.
     *
     * @param request the request
     * @param now current time
     */
    void quarantine(const CrashedRequest &request, SteadyTime now);

    /** @param digest digest of a request @return whether it must not run */
    bool isQuarantined(const base::Digest &digest) const;

    /** @param digest digest of a request @return number of crashes counted for it */
    std::size_t crashCount(const base::Digest &digest) const;

    /**
     * @param digest digest of a request
     * @param now current time
     * @return time until the request is tried again; zero if it is not quarantined
     */
    base::Milliseconds remainingQuarantine(const base::Digest &digest, SteadyTime now) const;

    /**
     * @param content what a request asks for
     * @param now current time
     * @return the same for the quarantined request itself or the one whose prompt it begins with
     */
    base::Milliseconds remainingQuarantine(const RequestContent &content, SteadyTime now) const;

    /** @return all crashes that are known, with the requests for which they count */
    std::vector<CrashReport> reports() const;

    /** @return how long suspects and quarantined requests are remembered */
    base::Milliseconds retention() const;

    /** @return number of digests that are remembered */
    std::size_t size() const;

private:
    struct Suspect
    {
        CrashedRequest request;
        std::vector<CrashId> crashes;
        /** Crashes that no longer count for this request. */
        std::vector<CrashId> cleared;
        bool isQuarantined = false;
        bool isOnTrial = false;
        SteadyTime updatedAt;
        std::list<base::Digest>::iterator orderPosition;
    };

    struct Crash
    {
        /** Whether a quarantined request has caused it. */
        bool isExplained = false;
        std::list<CrashId>::iterator orderPosition;
    };

    Suspect &findOrAdd(const CrashedRequest &request, SteadyTime now);
    Crash &findOrAddCrash(const CrashId &id);
    void remove(std::unordered_map<base::Digest, Suspect>::iterator suspect);
    void removeOldest(std::list<base::Digest> &order);
    void expire(SteadyTime now);
    void moveToQuarantine(Suspect &suspect);
    void clearOthers(const Suspect &culprit);
    const Suspect *findQuarantined(const base::Digest &digest) const;
    const Suspect *findQuarantined(const RequestContent &content) const;

    const SuspectLimits m_limits;
    std::unordered_map<base::Digest, Suspect> m_suspects;
    std::map<CrashId, Crash> m_crashes;
    /** Suspects, quarantined requests and crashes, each in the order of their last change, the oldest first. */
    std::list<base::Digest> m_suspectOrder;
    std::list<base::Digest> m_quarantineOrder;
    std::list<CrashId> m_crashOrder;
    /** Sizes of all requests that are remembered; a request of another size needs no digest. */
    std::multiset<std::size_t> m_sizes;
    /** Sizes of the quarantined prompts: only prefixes of these sizes need to be hashed. */
    std::multiset<std::size_t> m_quarantinedSizes;
};

}
