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

/** @param target a model or tool @param prompt what is given to it @return names what is asked, whoever asks */
base::Digest promptDigest(const base::TargetName &target, std::string_view prompt);

/** What may be done with a request of a digest. */
enum class SuspectVerdict {
    /** It may run like any other. */
    Clear,
    /** It may run once, alone; the table counts it as on trial from now on. */
    RunAlone,
    /** One of the same digest is on trial: wait for its end. */
    Wait,
    /** It has crashed two upstreams and must not run. */
    Quarantined,
};

/**
 * The requests that were in flight when an upstream crashed, by digest. Bounded; not synchronised.
 *
 * One crash makes a digest a suspect: one request of it at a time is tried, alone. The second crash quarantines it.
 */
class SuspectTable
{
public:
    /** @param maxDigests digests that are remembered; the oldest is forgotten first */
    explicit SuspectTable(std::size_t maxDigests);

    /** @param digest a request @return what may be done with it now */
    SuspectVerdict judge(const base::Digest &digest);

    /**
     * An upstream crashed while the request ran. Requests of the same digest that were lost in one crash count once.
     *
     * @param digest the request
     * @param runner the runner of the upstream
     * @param wasOnTrial whether the request ran alone
     * @return whether it is quarantined now
     */
    bool crashed(const base::Digest &digest, const std::string &runner, bool wasOnTrial);

    /** The trial of a request ended without a crash. @param digest the request @param survived whether it ran whole */
    void trialEnded(const base::Digest &digest, bool survived);

    /**
     * Quarantines a prompt, and every prompt that begins with it.
     *
     * @param digest the request
     * @param target the model or tool
     * @param prompt what was given to it
     */
    void quarantine(const base::Digest &digest, const base::TargetName &target, std::string_view prompt);

    /** @param target a model or tool @param prompt a prompt @return whether it begins with a quarantined one */
    bool extendsQuarantined(const base::TargetName &target, std::string_view prompt) const;

    /** @return every quarantined digest */
    std::vector<base::Digest> quarantined() const;

private:
    static constexpr std::uint32_t crashesUntilQuarantine = 2;

    struct Suspect
    {
        std::uint32_t crashes = 0;
        bool onTrial = false;
        std::string lastRunner;
        std::list<base::Digest>::iterator age;
    };

    Suspect &suspectOf(const base::Digest &digest);

    const std::size_t m_maxDigests;
    std::unordered_map<base::Digest, Suspect> m_suspects;
    /** Lengths of quarantined prompts. */
    std::set<std::size_t> m_lengths;
    /** Oldest first. */
    std::list<base::Digest> m_ages;
};

}
