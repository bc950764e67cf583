#pragma once

#include "base/ids.h"
#include "base/units.h"

#include <map>
#include <optional>
#include <vector>

namespace briarhinge::runner
{

/** Identifies the connection of an owner. */
using OwnerKey = const void *;

/** Leases and time limits of holds. */
struct HoldTimes
{
    /** Lease of a hold; the engine releases the prefix after this time without a renewal. */
    base::Milliseconds lease{1500};
    /** Time between two renewals of a hold. */
    base::Milliseconds renewInterval{500};
    /** A program that pauses longer is considered abandoned. */
    base::Milliseconds maxHoldTime{30'000};
    /** How long ended programs are retained; longer than any turn runs. */
    base::Milliseconds endedProgramRetention{900'000};
};

/** Requests to send to the engine. */
struct DueHolds
{
    /** Programs whose holds are to be renewed. */
    std::vector<base::ProgramId> renew;
    /** Programs whose holds are to be released. */
    std::vector<base::ProgramId> release;
};

/**
 * Decides which prefixes the engine holds for programs between their turns. Uses no clock and no locks.
 *
 * A hold is a short lease, renewed while the next turn of the program is expected and its owner is connected. It
 * therefore also ends when this process or the owner dies, or when a release request is lost.
 */
class HoldTable
{
public:
    /** @param times leases and time limits */
    explicit HoldTable(const HoldTimes &times);

    /**
     * Records the start of a turn, which ends the pause after the previous one.
     *
     * @param program the program
     * @param now current time
     */
    void turnStarted(const base::ProgramId &program, base::Timestamp now);

    /**
     * Decides at the end of a turn whether to hold the program's prefix.
     *
     * @param program the program
     * @param owner connection of its owner
     * @param breakEven time after which holding the prefix costs as much as computing it again
     * @param now current time
     * @return lease of the hold, or nothing if the prefix is not held
     */
    std::optional<base::Milliseconds> turnEnded(const base::ProgramId &program, OwnerKey owner,
                                                base::Milliseconds breakEven, base::Timestamp now);

    /**
     * Ends the hold of a program. Its prefix is not held again when a turn that still runs ends.
     *
     * @param program the program
     * @param now current time
     */
    void programEnded(const base::ProgramId &program, base::Timestamp now);

    /** Stops renewing the holds of a disconnected owner. @param owner connection of the owner */
    void removeOwner(OwnerKey owner);

    /** Removes expired holds and schedules the next renewals. @param now current time @return requests to send */
    DueHolds takeDue(base::Timestamp now);

    /** @return number of holds that are being renewed */
    std::size_t size() const;

private:
    struct Hold
    {
        OwnerKey owner = nullptr;
        base::Timestamp startedAt;
        base::Timestamp expiresAt;
        base::Timestamp renewAt;
    };

    base::Milliseconds computeHoldTime(base::Milliseconds breakEven) const;

    const HoldTimes m_times;
    std::map<base::ProgramId, Hold> m_holds;
    /** Ended programs with the time of their end. */
    std::map<base::ProgramId, base::Timestamp> m_endedPrograms;
    /** Moving average of the pause between two turns of a program; zero before the first pause. */
    double m_meanPauseMs = 0;
};

}
