#include "turns/turntree.h"

#include <algorithm>

namespace briarhinge::turns
{

namespace
{

std::size_t bytesOf(const Turn &turn)
{
    return turn.input.size() + turn.output.size();
}

}

TurnTree::TurnTree(base::Milliseconds retention, std::size_t maxBytes)
    : m_retention(retention)
    , m_maxBytes(maxBytes)
{
}

bool TurnTree::add(Turn turn, Time now)
{
    const TurnId parent = turn.parent;
    const TurnId id = turn.id;
    const std::size_t bytes = bytesOf(turn);
    const auto [place, isNew] = m_turns.try_emplace(id, Kept{std::move(turn), now});
    place->second.lastUse = now;
    if (isNew) {
        m_bytes += bytes;
    }
    prolongAncestors(parent, now);
    if (m_maxBytes > 0 && m_bytes > m_maxBytes) {
        shrink();
    }
    return isNew;
}

void TurnTree::prolongAncestors(TurnId id, Time now)
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

ChainPart TurnTree::chain(const TurnId &id) const
{
    std::vector<const Turn *> newestFirst;
    ChainPart part;
    std::size_t bytes = 0;
    part.missing = id;
    while (!part.missing.value().empty()) {
        const auto found = m_turns.find(part.missing);
        // The second condition terminates on a cycle of turns, which only damaged records can form.
        if (found == m_turns.end() || newestFirst.size() > m_turns.size()) {
            break;
        }
        newestFirst.push_back(&found->second.turn);
        bytes += bytesOf(found->second.turn);
        part.missing = found->second.turn.parent;
    }
    part.isKnown = !newestFirst.empty();
    if (!part.isKnown) {
        return part;
    }
    part.engine = newestFirst.front()->engine;
    part.prompt.reserve(bytes);
    for (auto turn = newestFirst.rbegin(); turn != newestFirst.rend(); ++turn) {
        part.prompt += (*turn)->input;
        part.prompt += (*turn)->output;
    }
    return part;
}

std::vector<const Turn *> TurnTree::turns() const
{
    std::vector<const Turn *> all;
    all.reserve(m_turns.size());
    for (const auto &[id, kept] : m_turns) {
        all.push_back(&kept.turn);
    }
    return all;
}

std::size_t TurnTree::size() const
{
    return m_turns.size();
}

void TurnTree::expire(Time now)
{
    std::erase_if(m_turns, [this, now](const auto &item) {
        const bool isOld = now - item.second.lastUse > m_retention;
        if (isOld) {
            m_bytes -= bytesOf(item.second.turn);
        }
        return isOld;
    });
}

void TurnTree::shrink()
{
    // Evicts a quarter at once to amortize the cost of sorting.
    const std::size_t target = m_maxBytes / 4 * 3;
    std::vector<std::pair<Time, TurnId>> byUse;
    byUse.reserve(m_turns.size());
    for (const auto &[id, kept] : m_turns) {
        byUse.emplace_back(kept.lastUse, id);
    }
    std::sort(byUse.begin(), byUse.end());
    for (const auto &[time, id] : byUse) {
        if (m_bytes <= target) {
            return;
        }
        const auto found = m_turns.find(id);
        m_bytes -= bytesOf(found->second.turn);
        m_turns.erase(found);
    }
}

}
