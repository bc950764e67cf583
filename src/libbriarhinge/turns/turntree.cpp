#include "turns/turntree.h"

#include <algorithm>

namespace briarhinge::turns
{

namespace
{

/** Memory of a turn besides its input and output. */
constexpr std::size_t turnBytes = 512;

std::size_t textBytes(const Turn &turn)
{
    return turn.input.size() + turn.output.size();
}

}

TurnTree::TurnTree(base::Milliseconds retention, std::size_t maxBytes)
    : m_retention(retention)
    , m_maxBytes(maxBytes)
{
}

bool TurnTree::add(Turn turn, Time now, TurnOrigin origin)
{
    const TurnId parent = turn.parent;
    const TurnId id = turn.id;
    const std::size_t bytes = textBytes(turn);
    const auto [found, isNew] = m_turns.try_emplace(id, StoredTurn{std::move(turn), now, origin});
    found->second.lastUse = now;
    if (isNew) {
        m_bytes += bytes;
        m_callerBytes += origin == TurnOrigin::Caller ? bytes + turnBytes : 0;
    }
    touchAncestors(parent, now);
    if (m_maxBytes > 0 && m_bytes > m_maxBytes) {
        evictLeastRecentlyUsed();
    }
    return isNew;
}

void TurnTree::touchAncestors(TurnId id, Time now)
{
    while (!id.value().empty()) {
        const auto found = m_turns.find(id);
        if (found == m_turns.end() || found->second.lastUse >= now) {
            return;
        }
        found->second.lastUse = now;
        id = found->second.turn.parent;
    }
}

bool TurnTree::contains(const TurnId &id) const
{
    return m_turns.contains(id);
}

KnownChain TurnTree::chain(const TurnId &id, std::size_t maxBytes) const
{
    std::vector<const Turn *> newestFirst;
    KnownChain known;
    std::size_t bytes = 0;
    known.missingTurn = id;
    while (!known.missingTurn.value().empty()) {
        const auto found = m_turns.find(known.missingTurn);
        // The second condition terminates on a cycle of turns, which only damaged records can form.
        if (found == m_turns.end() || newestFirst.size() > m_turns.size()) {
            break;
        }
        if (!newestFirst.empty() && bytes + textBytes(found->second.turn) > maxBytes) {
            known.isMissingTurnKnown = true;
            break;
        }
        newestFirst.push_back(&found->second.turn);
        bytes += textBytes(found->second.turn);
        known.missingTurn = found->second.turn.parent;
    }
    known.isNewestKnown = !newestFirst.empty();
    if (!known.isNewestKnown) {
        return known;
    }
    known.engine = newestFirst.front()->engine;
    known.prompt.reserve(bytes);
    for (auto turn = newestFirst.rbegin(); turn != newestFirst.rend(); ++turn) {
        known.prompt += (*turn)->input;
        known.prompt += (*turn)->output;
    }
    return known;
}

std::vector<const Turn *> TurnTree::turns() const
{
    std::vector<const Turn *> all;
    all.reserve(m_turns.size());
    for (const auto &[id, stored] : m_turns) {
        all.push_back(&stored.turn);
    }
    return all;
}

std::size_t TurnTree::size() const
{
    return m_turns.size();
}

std::size_t TurnTree::bytes() const
{
    return m_bytes + m_turns.size() * turnBytes;
}

std::size_t TurnTree::callerBytes() const
{
    return m_callerBytes;
}

void TurnTree::forgetBytes(const StoredTurn &stored)
{
    const std::size_t bytes = textBytes(stored.turn);
    m_bytes -= bytes;
    m_callerBytes -= stored.origin == TurnOrigin::Caller ? bytes + turnBytes : 0;
}

void TurnTree::expire(Time now)
{
    std::erase_if(m_turns, [this, now](const auto &item) {
        const bool isOld = now - item.second.lastUse > m_retention;
        if (isOld) {
            forgetBytes(item.second);
        }
        return isOld;
    });
}

void TurnTree::evictLeastRecentlyUsed()
{
    // Evicts a quarter at once to amortize the cost of sorting.
    const std::size_t target = m_maxBytes / 4 * 3;
    std::vector<std::pair<Time, TurnId>> byUse;
    byUse.reserve(m_turns.size());
    for (const auto &[id, stored] : m_turns) {
        byUse.emplace_back(stored.lastUse, id);
    }
    std::sort(byUse.begin(), byUse.end());
    for (const auto &[time, id] : byUse) {
        if (m_bytes <= target) {
            return;
        }
        const auto found = m_turns.find(id);
        forgetBytes(found->second);
        m_turns.erase(found);
    }
}

}
