#include "turns/turntree.h"

#include <algorithm>

namespace briarhinge::turns
{

namespace
{

/** Memory of a turn besides its texts. */
constexpr std::size_t turnBytes = 512;
/** Memory of a missing turn besides its id. */
constexpr std::size_t missingTurnBytes = 96;

/** @return memory of a turn, whose id is stored twice */
std::size_t memoryBytes(const Turn &turn)
{
    return turnBytes + turn.bytes() + turn.id.value().size();
}

/** @return memory of a turn of which only the id is known */
std::size_t memoryBytes(const TurnId &missing)
{
    return missingTurnBytes + missing.value().size();
}

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

bool TurnTree::add(Turn turn, Time lastUse, Time expiry)
{
    const TurnId parent = turn.parent;
    const TurnId id = turn.id;
    const std::size_t bytes = memoryBytes(turn);
    Lifetime use{lastUse, expiry};
    use.extend(m_retention);
    const auto [found, isNew] = m_turns.try_emplace(id, StoredTurn{std::move(turn), use});
    Lifetime &lifetime = found->second.lifetime;
    lifetime.extend(use);
    m_bytes += isNew ? bytes : 0;
    if (const auto missing = m_missing.find(id); missing != m_missing.end()) {
        lifetime.extend(missing->second);
        m_bytes -= memoryBytes(id);
        m_missing.erase(missing);
    }
    touchAncestors(parent, lifetime);
    if (m_maxBytes > 0 && m_bytes > m_maxBytes) {
        evictLeastRecentlyUsed();
    }
    return isNew;
}

void TurnTree::touchAncestors(TurnId id, const Lifetime &use)
{
    while (!id.value().empty()) {
        const auto found = m_turns.find(id);
        if (found == m_turns.end()) {
            touchMissing(id, use);
            return;
        }
        if (found->second.lifetime.covers(use)) {
            return;
        }
        found->second.lifetime.extend(use);
        id = found->second.turn.parent;
    }
}

void TurnTree::touchMissing(const TurnId &id, const Lifetime &use)
{
    const auto [found, isNew] = m_missing.try_emplace(id, use);
    found->second.extend(use);
    m_bytes += isNew ? memoryBytes(id) : 0;
}

template <class Predicate>
void TurnTree::forgetMissing(Predicate isForgotten)
{
    std::erase_if(m_missing, [this, &isForgotten](const auto &item) {
        const bool isErased = isForgotten(item.second);
        m_bytes -= isErased ? memoryBytes(item.first) : 0;
        return isErased;
    });
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

const TurnTree::StoredTurn *TurnTree::find(const TurnId &id) const
{
    const auto found = m_turns.find(id);
    return found == m_turns.end() ? nullptr : &found->second;
}

const TurnTree::StoredTurn *TurnTree::next(const TurnId &id) const
{
    const auto found = m_turns.upper_bound(id);
    return found == m_turns.end() ? nullptr : &found->second;
}

std::vector<TurnId> TurnTree::missingTurns() const
{
    std::vector<TurnId> ids;
    ids.reserve(m_missing.size());
    for (const auto &[id, time] : m_missing) {
        ids.push_back(id);
    }
    return ids;
}

std::size_t TurnTree::size() const
{
    return m_turns.size();
}

std::size_t TurnTree::bytes() const
{
    return m_bytes;
}

base::Milliseconds TurnTree::retention() const
{
    return m_retention;
}

void TurnTree::setRetention(base::Milliseconds retention)
{
    m_retention = retention;
    extend(retention);
}

void TurnTree::extend(base::Milliseconds retention)
{
    for (auto &[id, stored] : m_turns) {
        stored.lifetime.extend(retention);
    }
    for (auto &[id, lifetime] : m_missing) {
        lifetime.extend(retention);
    }
}

void TurnTree::expire(Time now)
{
    std::erase_if(m_turns, [this, now](const auto &item) {
        const bool isExpired = now > item.second.lifetime.expiry;
        m_bytes -= isExpired ? memoryBytes(item.second.turn) : 0;
        return isExpired;
    });
    forgetMissing([now](const Lifetime &lifetime) {
        return now > lifetime.expiry;
    });
}

void TurnTree::evictLeastRecentlyUsed()
{
    // Evicts a quarter at once to amortize the cost of sorting.
    const std::size_t target = m_maxBytes / 4 * 3;
    std::vector<std::pair<Time, TurnId>> byUse;
    byUse.reserve(m_turns.size());
    for (const auto &[id, stored] : m_turns) {
        byUse.emplace_back(stored.lifetime.lastUse, id);
    }
    std::sort(byUse.begin(), byUse.end());
    for (const auto &[time, id] : byUse) {
        if (m_bytes <= target) {
            forgetMissing([oldest = time](const Lifetime &lifetime) {
                return lifetime.lastUse < oldest;
            });
            return;
        }
        const auto found = m_turns.find(id);
        m_bytes -= memoryBytes(found->second.turn);
        m_turns.erase(found);
    }
}

}
