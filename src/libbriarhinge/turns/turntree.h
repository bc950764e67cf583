#pragma once

#include "base/units.h"
#include "turns/lifetime.h"
#include "turns/turn.h"

#include <cstddef>
#include <limits>
#include <map>
#include <string>
#include <vector>

namespace briarhinge::turns
{

/** The newest turns of a chain, as far back as one process knows them without a gap. */
struct KnownChain
{
    /** Inputs and outputs of the known turns, oldest first. */
    std::string prompt;
    /** Parent of the oldest turn of the prompt; empty if the chain is complete. */
    TurnId missingTurn;
    /** Whether that turn is known but did not fit. */
    bool isMissingTurnKnown = false;
    /** Id of the runner whose engine ran the newest turn. */
    std::string engine;
    /** Whether the newest turn is known. */
    bool isNewestKnown = false;
};

/**
 * Completed turns by id. They form a tree, since several turns may continue the same one. Reads no clock and is not
 * thread-safe.
 *
 * A turn expires once the retention has passed since it or its latest descendant was added. That includes descendants that
 * were added while turns between the two were missing, once these are added. A retention that is set later holds for a
 * turn if it is longer than those before.
 */
class TurnTree
{
public:
    /** Point in time on any monotonic clock. */
    using Time = Lifetime::Time;

    /** A turn and its lifetime; adding it or a descendant counts as its use. */
    struct StoredTurn
    {
        Turn turn;
        Lifetime lifetime;
    };

    /**
     * @param retention how long a turn is retained after its last use
     * @param maxBytes limit for bytes(), beyond which the least recently used turns are evicted; zero means unlimited
     */
    TurnTree(base::Milliseconds retention, std::size_t maxBytes);

    /**
     * Adds a completed turn and marks it and its ancestors as used.
     *
     * @param turn the turn
     * @param lastUse when it was last used; the current time unless it comes from another store or from the journal
     * @param expiry when it expires at the earliest, whatever the retention
     * @return whether the turn was not known before
     */
    bool add(Turn turn, Time lastUse, Time expiry = Time::min());

    /** @return whether the turn @p id is stored */
    bool contains(const TurnId &id) const;

    /**
     * Collects a chain from its newest turn back to the first one or to a gap.
     *
     * @param id the newest turn of the chain
     * @param maxBytes limit for the size of the known turns, beyond which the older ones count as missing; the newest one
     * is always included
     * @return the known end of the chain
     */
    KnownChain chain(const TurnId &id, std::size_t maxBytes = std::numeric_limits<std::size_t>::max()) const;

    /** @return the turn @p id, or null if it is not stored; valid until the tree is modified */
    const StoredTurn *find(const TurnId &id) const;

    /** @return the turn with the lowest id above @p id, or null; valid until the tree is modified */
    const StoredTurn *next(const TurnId &id) const;

    /** @return the turns that stored ones continue and that are not stored */
    std::vector<TurnId> missingTurns() const;

    /** @return the number of stored turns */
    std::size_t size() const;

    /** @return memory of the stored and the missing turns in bytes, with what each needs besides its texts */
    std::size_t bytes() const;

    /** @return how long a turn is retained after its last use, unless it expires later */
    base::Milliseconds retention() const;

    /** @param retention how long a turn is retained after its last use, unless it expires later already */
    void setRetention(base::Milliseconds retention);

    /** Prolongs the retention of the present turns. @param retention how long they are retained at least */
    void extend(base::Milliseconds retention);

    /** Removes the turns that have expired at the time @p now. */
    void expire(Time now);

private:
    void touchAncestors(TurnId id, const Lifetime &use);
    void touchMissing(const TurnId &id, const Lifetime &use);
    template <class Predicate>
    void forgetMissing(Predicate isForgotten);
    void evictLeastRecentlyUsed();

    base::Milliseconds m_retention;
    const std::size_t m_maxBytes;
    std::size_t m_bytes = 0;
    std::map<TurnId, StoredTurn> m_turns;
    /** The missing turns, and the lifetimes that they will have. */
    std::map<TurnId, Lifetime> m_missing;
};

}
