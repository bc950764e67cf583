#pragma once

#include "base/digest.h"
#include "base/ids.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace briarhinge::placement
{

/**
 * @param target a model or tool
 * @param prompt the input
 * @return a digest of the request that does not depend on the program or account it comes from
 */
base::Digest promptDigest(const base::TargetName &target, std::string_view prompt);

/** How to handle a request with a given digest. */
enum class SuspectVerdict {
    /** Not a suspect: runs normally. */
    Clear,
    /** Suspect: runs alone, and the digest is on trial from now on. */
    RunAlone,
    /** Another request with the same digest is on trial: wait until it ends. */
    Wait,
    /** Crashed two upstreams: must not run. */
    Quarantined,
};

/**
 * Requests that were in flight when an upstream crashed, by digest. Bounded in size; not thread-safe.
 *
 * After one crash a digest is a suspect: its requests run alone, one at a time. A second crash quarantines it.
 */
class SuspectTable
{
public:
    /** @param maxDigests maximum number of digests; the oldest is evicted first */
    explicit SuspectTable(std::size_t maxDigests);

    /**
     * Decides how to handle a request; puts its digest on trial if the result is RunAlone.
     *
     * @param digest digest of the request
     * @return how to handle the request now
     */
    SuspectVerdict admit(const base::Digest &digest);

    /**
     * Records that an upstream crashed while the request ran. Requests with the same digest that were lost in the same
     * crash count once.
     *
     * @param digest digest of the request
     * @param runner runner of the upstream
     * @param wasOnTrial whether the request ran alone
     * @return whether the digest is to be quarantined
     */
    bool recordCrash(const base::Digest &digest, const std::string &runner, bool wasOnTrial);

    /**
     * Ends the trial of a request that did not crash its upstream.
     *
     * @param digest digest of the request
     * @param survived whether the request completed, which clears the suspicion
     */
    void endTrial(const base::Digest &digest, bool survived);

    /**
     * Quarantines a prompt and all prompts that begin with it.
     *
     * @param digest digest of the request
     * @param target the model or tool
     * @param prompt the input
     */
    void quarantine(const base::Digest &digest, const base::TargetName &target, std::string_view prompt);

    /**
     * @param target a model or tool
     * @param prompt a prompt
     * @return whether the prompt begins with a shorter quarantined prompt
     */
    bool hasQuarantinedPrefix(const base::TargetName &target, std::string_view prompt) const;

    /** @return all quarantined digests */
    std::vector<base::Digest> quarantined() const;

private:
    static constexpr std::uint32_t crashesUntilQuarantine = 2;

    struct Suspect
    {
        std::uint32_t crashes = 0;
        bool onTrial = false;
        std::string lastRunner;
        std::list<base::Digest>::iterator orderPosition;
    };

    Suspect &findOrAdd(const base::Digest &digest);

    const std::size_t m_maxDigests;
    std::unordered_map<base::Digest, Suspect> m_suspects;
    /** Lengths of the quarantined prompts in bytes: only prefixes of these lengths need to be hashed. */
    std::set<std::size_t> m_quarantinedLengths;
    /** Digests in order of insertion, the oldest first. */
    std::list<base::Digest> m_insertionOrder;
};

}
