#include "placement/suspecttable.h"

namespace briarhinge::placement
{

namespace
{

/** Limits the number of prefixes that are hashed for each call. */
constexpr std::size_t maxQuarantinedLengths = 64;

}

base::Digest promptDigest(const base::TargetName &target, std::string_view prompt)
{
    return base::computeDigest({target.value(), prompt});
}

SuspectTable::SuspectTable(std::size_t maxDigests)
    : m_maxDigests(maxDigests)
{
}

SuspectVerdict SuspectTable::admit(const base::Digest &digest)
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

bool SuspectTable::recordCrash(const base::Digest &digest, const std::string &runner, bool wasOnTrial)
{
    Suspect &suspect = findOrAdd(digest);
    if (wasOnTrial) {
        suspect.onTrial = false;
    }
    if (wasOnTrial || suspect.lastRunner != runner) {
        ++suspect.crashes;
        suspect.lastRunner = runner;
    }
    return suspect.crashes >= crashesUntilQuarantine;
}

void SuspectTable::endTrial(const base::Digest &digest, bool survived)
{
    const auto found = m_suspects.find(digest);
    if (found == m_suspects.end()) {
        return;
    }
    found->second.onTrial = false;
    if (survived && found->second.crashes < crashesUntilQuarantine) {
        m_insertionOrder.erase(found->second.orderPosition);
        m_suspects.erase(found);
    }
}

void SuspectTable::quarantine(const base::Digest &digest, const base::TargetName &target, std::string_view prompt)
{
    findOrAdd(digest).crashes = crashesUntilQuarantine;
    if (digest == promptDigest(target, prompt) && m_quarantinedLengths.size() < maxQuarantinedLengths) {
        m_quarantinedLengths.insert(prompt.size());
    }
}

bool SuspectTable::hasQuarantinedPrefix(const base::TargetName &target, std::string_view prompt) const
{
    for (const std::size_t length : m_quarantinedLengths) {
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

SuspectTable::Suspect &SuspectTable::findOrAdd(const base::Digest &digest)
{
    const auto [position, isNew] = m_suspects.try_emplace(digest);
    if (isNew) {
        position->second.orderPosition = m_insertionOrder.insert(m_insertionOrder.end(), digest);
    }
    if (m_suspects.size() > m_maxDigests) {
        m_suspects.erase(m_insertionOrder.front());
        m_insertionOrder.pop_front();
    }
    return m_suspects.at(digest);
}

}
