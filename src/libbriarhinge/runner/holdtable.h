#pragma once

#include "base/ids.h"
#include "base/units.h"

#include <map>
#include <optional>
#include <vector>

namespace briarhinge::runner
{

/** Names the connection of an owner. */
using OwnerKey = const void *;

/** Times that decide about holds. */
struct HoldTimes
{
    /** Lease of a hold at the engine: it lets go by itself after this time. */
    base::Milliseconds lease{1500};
    /** Time between two renewals. */
    base::Milliseconds renewal{500};
    /** A program that stays away longer is taken for abandoned. */
    base::Milliseconds longest{30'000};
    /** How long an ended program is remembered; no turn runs longer. */
    base::Milliseconds keepTime{900'000};
};

/** What is due at the engine. */
struct DueHolds
{
    /** Holds to renew. */
    std::vector<base::ProgramId> renew;
    /** Holds to let go of. */
    std::vector<base::ProgramId> release;
};

/**
 * The prefixes that the engine keeps for programs between their turns. Free of clocks and locks.
 *
 * A hold at the engine is a short lease. It is renewed while the program is expected back and its owner's connection
 * stands, so the end of this process, of the owner or of a lost release all end it.
 */
class HoldTable
{
public:
    /** @param times leases and limits */
    explicit HoldTable(const HoldTimes &times);

    /**
     * A turn of a program starts.
     *
     * @param program the program
     * @param now the time
     */
    void turnStarted(const base::ProgramId &program, base::Timestamp now);

    /**
     * A turn of a program ended: decides whether its prefix is held.
     *
     * @param program the program
     * @param owner the connection of its owner
     * @param breakEven time for which holding costs as much as a refill
     * @param now the time
     * @return whether to hold, with the lease
     */
    std::optional<base::Milliseconds> turnEnded(const base::ProgramId &program, OwnerKey owner,
                                                base::Milliseconds breakEven, base::Timestamp now);

    /** The program has ended: a turn of it that still runs is not held for. @param program the program @param now the time */
    void programEnded(const base::ProgramId &program, base::Timestamp now);

    /** The connection of an owner is gone: its holds are not renewed any more. @param owner the connection */
    void ownerGone(OwnerKey owner);

    /** @param now the time @return what is due */
    DueHolds due(base::Timestamp now);

    /** @return holds that are being renewed */
    std::size_t size() const;

private:
    struct Hold
    {
        OwnerKey owner = nullptr;
        base::Timestamp heldSince;
        base::Timestamp until;
        base::Timestamp renewAt;
    };

    base::Milliseconds holdTime(base::Milliseconds breakEven) const;

    const HoldTimes m_times;
    std::map<base::ProgramId, Hold> m_holds;
    /** Programs that ended, with the time. */
    std::map<base::ProgramId, base::Timestamp> m_ended;
    /** Smoothed pause between two turns of a program here; zero before the first. */
    double m_meanPauseMs = 0;
};

}
