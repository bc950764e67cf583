#include "placement/suspecttable.h"

namespace briarhinge::placement
{

namespace
{

/** Bounds the prefixes that are hashed for a call. */
constexpr std::size_t maxLengths = 64;

}

base::Digest promptDigest(const base::TargetName &target, std::string_view prompt)
{
    return base::computeDigest({target.value(), prompt});
}

SuspectTable::SuspectTable(std::size_t maxDigests)
    : m_maxDigests(maxDigests)
{
}

SuspectVerdict SuspectTable::judge(const base::Digest &digest)
{
    const auto found = m_suspects.find(digest);
    if (found == m_suspects.end()) {
        return SuspectVerdict::Clear;
    }
    if (found->second.crashes >= crashesUntilQuarantine) {
        return SuspectVerdict::Quarantined;
    }
    if (found->second.onTrial) {
        return SuspectVerdict::Wait;
    }
    found->second.onTrial = true;
    return SuspectVerdict::RunAlone;
}

bool SuspectTable::crashed(const base::Digest &digest, const std::string &runner, bool wasOnTrial)
{
    Suspect &suspect = suspectOf(digest);
    if (wasOnTrial) {
        suspect.onTrial = false;
    }
    if (wasOnTrial || suspect.lastRunner != runner) {
        ++suspect.crashes;
        suspect.lastRunner = runner;
    }
    return suspect.crashes >= crashesUntilQuarantine;
}

void SuspectTable::trialEnded(const base::Digest &digest, bool survived)
{
    const auto found = m_suspects.find(digest);
    if (found == m_suspects.end()) {
        return;
    }
    found->second.onTrial = false;
    if (survived && found->second.crashes < crashesUntilQuarantine) {
        m_ages.erase(found->second.age);
        m_suspects.erase(found);
    }
}

void SuspectTable::quarantine(const base::Digest &digest, const base::TargetName &target, std::string_view prompt)
{
    suspectOf(digest).crashes = crashesUntilQuarantine;
    if (digest == promptDigest(target, prompt) && m_lengths.size() < maxLengths) {
        m_lengths.insert(prompt.size());
    }
}

bool SuspectTable::extendsQuarantined(const base::TargetName &target, std::string_view prompt) const
{
    for (const std::size_t length : m_lengths) {
        if (length >= prompt.size()) {
            return false;
        }
        const auto found = m_suspects.find(promptDigest(target, prompt.substr(0, length)));
        if (found != m_suspects.end() && found->second.crashes >= crashesUntilQuarantine) {
            return true;
        }
    }
    return false;
}

std::vector<base::Digest> SuspectTable::quarantined() const
{
    std::vector<base::Digest> digests;
    for (const auto &[digest, suspect] : m_suspects) {
        if (suspect.crashes >= crashesUntilQuarantine) {
            digests.push_back(digest);
        }
    }
    return digests;
}

SuspectTable::Suspect &SuspectTable::suspectOf(const base::Digest &digest)
{
    const auto [place, isNew] = m_suspects.try_emplace(digest);
    if (isNew) {
        place->second.age = m_ages.insert(m_ages.end(), digest);
    }
    if (m_suspects.size() > m_maxDigests) {
        m_suspects.erase(m_ages.front());
        m_ages.pop_front();
    }
    return m_suspects.at(digest);
}

}
