#pragma once

#include "base/units.h"
#include "turns/turn.h"

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace briarhinge::turns
{

/** The part of a chain that one process knows, from its newest turn back. */
struct ChainPart
{
    /** Inputs and outputs, the oldest first. */
    std::string prompt;
    /** The turn before the oldest one of the prompt, which is not known here; empty when the chain is whole. */
    TurnId missing;
    /** Engine of the newest turn. */
    std::string engine;
    /** Whether the newest turn is known. */
    bool isKnown = false;
};

/**
 * Finished turns by id, as a tree: several turns may continue the same one. Free of clocks; not synchronised.
 *
 * A turn is kept for the retention after it, or the last of those that continue it, was added.
 */
class TurnTree
{
public:
    /** Time on any clock that never goes back. */
    using Time = std::chrono::steady_clock::time_point;

    /**
     * @param retention how long a turn is kept
     * @param maxBytes bytes of inputs and outputs that are kept; the oldest turns go first. Zero sets no bound
     */
    TurnTree(base::Milliseconds retention, std::size_t maxBytes);

    /** @param turn a finished turn @param now the time @return whether it was not known before */
    bool add(Turn turn, Time now);

    /** @param id a turn @return whether it is known */
    bool contains(const TurnId &id) const;

    /** @param id the newest turn of a chain @return what is known of the chain */
    ChainPart chain(const TurnId &id) const;

    /** @return every turn, in no order; valid until the next change */
    std::vector<const Turn *> turns() const;

    /** @return how many turns are kept */
    std::size_t size() const;

    /** Forgets turns that are past the retention. @param now the time */
    void expire(Time now);

private:
    struct Kept
    {
        Turn turn;
        Time lastUse;
    };

    void prolongAncestors(TurnId id, Time now);
    void shrink();

    const base::Milliseconds m_retention;
    const std::size_t m_maxBytes;
    std::size_t m_bytes = 0;
    std::unordered_map<TurnId, Kept> m_turns;
};

}
