#include "placement/suspecttable.h"

#include "base/prefixhasher.h"

#include <algorithm>
#include <utility>

namespace briarhinge::placement
{

namespace
{

/** Limits the memory of one record; older crashes of a request that keeps completing tell nothing. */
constexpr std::size_t maxClearedCrashes = 16;

bool contains(const std::vector<CrashId> &crashes, const CrashId &crash)
{
    return std::find(crashes.begin(), crashes.end(), crash) != crashes.end();
}

void addCleared(std::vector<CrashId> &cleared, const std::vector<CrashId> &crashes)
{
    cleared.insert(cleared.end(), crashes.begin(), crashes.end());
    if (cleared.size() > maxClearedCrashes) {
        cleared.erase(cleared.begin(), cleared.end() - maxClearedCrashes);
    }
}

/** Appends the part of a content's prompt between two offsets to a hasher. */
void appendRange(base::PrefixHasher &hasher, const RequestContent &content, std::size_t from, std::size_t to)
{
    const std::size_t split = content.history.size();
    if (from < split) {
        hasher.append(content.history.substr(from, std::min(to, split) - from));
    }
    if (to > split) {
        const std::size_t begin = std::max(from, split);
        hasher.append(content.input.substr(begin - split, to - begin));
    }
}

}

SuspectTable::SuspectTable(const SuspectLimits &limits)
    : m_limits(limits)
{
}

bool SuspectTable::isEmpty() const
{
    return m_suspects.empty();
}

SuspectVerdict SuspectTable::admit(const base::Digest &digest, SteadyTime now)
{
    expire(now);
    const auto found = m_suspects.find(digest);
    if (found == m_suspects.end()) {
        return SuspectVerdict::Clear;
    }
    Suspect &suspect = found->second;
    if (suspect.isQuarantined) {
        return SuspectVerdict::Quarantined;
    }
    if (suspect.isOnTrial) {
        return SuspectVerdict::Wait;
    }
    if (suspect.crashes.empty()) {
        return SuspectVerdict::Clear;
    }
    suspect.isOnTrial = true;
    return SuspectVerdict::RunAlone;
}

SuspectVerdict SuspectTable::admit(const RequestContent &content, SteadyTime now)
{
    expire(now);
    if (findQuarantined(content) != nullptr) {
        return SuspectVerdict::Quarantined;
    }
    return m_sizes.contains(content.size()) ? admit(contentDigest(content), now) : SuspectVerdict::Clear;
}

void SuspectTable::beginTrial(const CrashedRequest &request, SteadyTime now)
{
    findOrAdd(request, now).isOnTrial = true;
}

void SuspectTable::endTrial(const base::Digest &digest, bool hasSurvived)
{
    const auto found = m_suspects.find(digest);
    if (found == m_suspects.end()) {
        return;
    }
    Suspect &suspect = found->second;
    suspect.isOnTrial = false;
    if (hasSurvived && !suspect.isQuarantined) {
        addCleared(suspect.cleared, suspect.crashes);
        suspect.crashes.clear();
    }
    if (suspect.crashes.empty() && suspect.cleared.empty() && !suspect.isQuarantined) {
        remove(found);
    }
}

CrashId SuspectTable::nextCrash(const std::string &runner, std::uint64_t startedAt) const
{
    CrashId next{runner, startedAt, 0};
    for (auto known = m_crashes.lower_bound(next);
         known != m_crashes.end() && known->first.runner == runner && known->first.startedAt == startedAt; ++known) {
        next.ordinal = known->first.ordinal + 1;
    }
    return next;
}

bool SuspectTable::knows(const CrashId &crash) const
{
    return m_crashes.contains(crash);
}

bool SuspectTable::hasCrashed(const std::string &runner) const
{
    const auto found = m_crashes.lower_bound(CrashId{runner, 0, 0});
    return found != m_crashes.end() && found->first.runner == runner;
}

std::vector<base::Digest> SuspectTable::recordCrash(const CrashReport &report, SteadyTime now)
{
    expire(now);
    const bool isExplained = findOrAddCrash(report.crash).isExplained;
    std::vector<base::Digest> culprits;
    for (const CrashedRequest &request : report.requests) {
        Suspect &suspect = findOrAdd(request, now);
        if (contains(suspect.crashes, report.crash) || contains(suspect.cleared, report.crash)) {
            continue;
        }
        if (isExplained && !suspect.isQuarantined) {
            addCleared(suspect.cleared, {report.crash});
            continue;
        }
        if (suspect.crashes.size() < m_limits.crashesUntilQuarantine) {
            suspect.crashes.push_back(report.crash);
        }
        if (!suspect.isQuarantined && suspect.crashes.size() >= m_limits.crashesUntilQuarantine) {
            moveToQuarantine(suspect);
            culprits.push_back(request.digest);
        }
    }
    // Only now: requests of one report that reach the limit together are all quarantined.
    for (const base::Digest &digest : culprits) {
        if (const Suspect *culprit = findQuarantined(digest)) {
            clearOthers(*culprit);
        }
    }
    return culprits;
}

void SuspectTable::quarantine(const CrashedRequest &request, SteadyTime now)
{
    Suspect &suspect = findOrAdd(request, now);
    if (!suspect.isQuarantined) {
        moveToQuarantine(suspect);
    }
}

bool SuspectTable::isQuarantined(const base::Digest &digest) const
{
    return findQuarantined(digest) != nullptr;
}

std::size_t SuspectTable::crashCount(const base::Digest &digest) const
{
    const auto found = m_suspects.find(digest);
    return found == m_suspects.end() ? 0 : found->second.crashes.size();
}

base::Milliseconds SuspectTable::remainingQuarantine(const base::Digest &digest, SteadyTime now) const
{
    const Suspect *suspect = findQuarantined(digest);
    if (suspect == nullptr) {
        return base::Milliseconds(0);
    }
    const auto age = std::chrono::duration_cast<base::Milliseconds>(now - suspect->updatedAt);
    return std::max(base::Milliseconds(0), m_limits.retention - age);
}

base::Milliseconds SuspectTable::remainingQuarantine(const RequestContent &content, SteadyTime now) const
{
    const Suspect *suspect = findQuarantined(content);
    return suspect == nullptr ? base::Milliseconds(0) : remainingQuarantine(suspect->request.digest, now);
}

std::vector<CrashReport> SuspectTable::reports() const
{
    std::map<CrashId, CrashReport> byCrash;
    for (const auto &[digest, suspect] : m_suspects) {
        for (const CrashId &crash : suspect.crashes) {
            CrashReport &report = byCrash[crash];
            report.crash = crash;
            report.requests.push_back(suspect.request);
        }
    }
    std::vector<CrashReport> reports;
    reports.reserve(byCrash.size());
    for (auto &[crash, report] : byCrash) {
        reports.push_back(std::move(report));
    }
    return reports;
}

base::Milliseconds SuspectTable::retention() const
{
    return m_limits.retention;
}

std::size_t SuspectTable::size() const
{
    return m_suspects.size();
}

SuspectTable::Suspect &SuspectTable::findOrAdd(const CrashedRequest &request, SteadyTime now)
{
    const auto [position, isNew] = m_suspects.try_emplace(request.digest);
    Suspect &suspect = position->second;
    if (isNew) {
        suspect.request = request;
        m_sizes.insert(request.size);
        suspect.orderPosition = m_suspectOrder.insert(m_suspectOrder.end(), request.digest);
        if (m_suspectOrder.size() > m_limits.maxRecords) {
            removeOldest(m_suspectOrder);
        }
    } else {
        auto &order = suspect.isQuarantined ? m_quarantineOrder : m_suspectOrder;
        order.splice(order.end(), order, suspect.orderPosition);
    }
    suspect.updatedAt = now;
    return suspect;
}

SuspectTable::Crash &SuspectTable::findOrAddCrash(const CrashId &id)
{
    const auto [position, isNew] = m_crashes.try_emplace(id);
    if (isNew) {
        position->second.orderPosition = m_crashOrder.insert(m_crashOrder.end(), id);
        if (m_crashOrder.size() > m_limits.maxRecords) {
            m_crashes.erase(m_crashOrder.front());
            m_crashOrder.pop_front();
        }
    }
    return position->second;
}

void SuspectTable::remove(std::unordered_map<base::Digest, Suspect>::iterator suspect)
{
    const CrashedRequest &request = suspect->second.request;
    m_sizes.erase(m_sizes.find(request.size));
    if (suspect->second.isQuarantined) {
        if (request.isPrompt) {
            m_quarantinedSizes.erase(m_quarantinedSizes.find(request.size));
        }
        m_quarantineOrder.erase(suspect->second.orderPosition);
    } else {
        m_suspectOrder.erase(suspect->second.orderPosition);
    }
    m_suspects.erase(suspect);
}

void SuspectTable::removeOldest(std::list<base::Digest> &order)
{
    remove(m_suspects.find(order.front()));
}

void SuspectTable::expire(SteadyTime now)
{
    for (auto *order : {&m_suspectOrder, &m_quarantineOrder}) {
        while (!order->empty() && m_suspects.at(order->front()).updatedAt + m_limits.retention <= now) {
            removeOldest(*order);
        }
    }
}

void SuspectTable::moveToQuarantine(Suspect &suspect)
{
    suspect.isQuarantined = true;
    m_quarantineOrder.splice(m_quarantineOrder.end(), m_suspectOrder, suspect.orderPosition);
    if (suspect.request.isPrompt) {
        m_quarantinedSizes.insert(suspect.request.size);
    }
    if (m_quarantineOrder.size() > m_limits.maxRecords) {
        removeOldest(m_quarantineOrder);
    }
}

void SuspectTable::clearOthers(const Suspect &culprit)
{
    for (const CrashId &crash : culprit.crashes) {
        findOrAddCrash(crash).isExplained = true;
    }
    for (auto &[digest, other] : m_suspects) {
        if (other.isQuarantined) {
            continue;
        }
        std::vector<CrashId> explained;
        std::erase_if(other.crashes, [&](const CrashId &crash) {
            if (!contains(culprit.crashes, crash)) {
                return false;
            }
            explained.push_back(crash);
            return true;
        });
        addCleared(other.cleared, explained);
    }
}

const SuspectTable::Suspect *SuspectTable::findQuarantined(const base::Digest &digest) const
{
    const auto found = m_suspects.find(digest);
    return found != m_suspects.end() && found->second.isQuarantined ? &found->second : nullptr;
}

const SuspectTable::Suspect *SuspectTable::findQuarantined(const RequestContent &content) const
{
    if (!content.isPrompt) {
        return m_sizes.contains(content.size()) ? findQuarantined(contentDigest(content)) : nullptr;
    }
    if (m_quarantinedSizes.empty() || *m_quarantinedSizes.begin() > content.size()) {
        return nullptr;
    }
    base::PrefixHasher hasher;
    hasher.appendField(content.target);
    std::size_t hashed = 0;
    for (auto size = m_quarantinedSizes.begin(); size != m_quarantinedSizes.end() && *size <= content.size();
         size = m_quarantinedSizes.upper_bound(*size)) {
        appendRange(hasher, content, hashed, *size);
        hashed = *size;
        if (const Suspect *suspect = findQuarantined(hasher.digest())) {
            return suspect;
        }
    }
    return nullptr;
}

}
