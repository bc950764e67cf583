#include "placement/suspecttable.h"

namespace briarhinge::placement
{

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

void SuspectTable::quarantine(const base::Digest &digest)
{
    suspectOf(digest).crashes = crashesUntilQuarantine;
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
