#pragma once

#include "base/units.h"

#include <cstdint>
#include <optional>

namespace briarhinge::dispatch
{

/** Bounds on the load up to which new programs are admitted, in running and queued requests per slot. */
struct AdmissionBounds
{
    /** For requests of the highest priority. */
    double mostUrgent = 1.5;
    /** For all others. */
    double others = 1.25;
    /** The same where accounts share the room: programs under way keep some of it, since they wait for no others' end. */
    double sharedMostUrgent = 0.75;
    double sharedOthers = 0.5;
};

/**
 * Decides whether a new program may start. Each program that starts on full runners makes all programs under way late:
 * its later turns go before those of newer programs. Beyond the bounds a program does better to come back.
 *
 * While client accounts share the runners, room that gets short is shared by what each has used of its cap: an account that
 * has used many times the part that others have is refused first, one that has used little last. So an account that sends
 * many times its usual amid a burst costs the others nothing. Room that is not short goes to whoever asks.
 *
 * Uses no clock and no state.
 */
class ProgramAdmission
{
public:
    /** @param bounds the loads from which new programs are refused */
    explicit ProgramAdmission(const AdmissionBounds &bounds = {});

    /**
     * Decides on the first turn of a program.
     *
     * @param priority priority of the route of the turn, 0 being the most urgent
     * @param loadPerSlot mean number of running and queued requests per slot of the service, if it is known
     * @param relativeUse part of its quota that the caller's account has used lately, as a multiple of the mean part of
     *                    all accounts; empty if it has no cap
     * @return the time after which the caller may try again if the program must not start now
     */
    std::optional<base::Milliseconds> refusal(std::uint32_t priority, std::optional<double> loadPerSlot,
                                              std::optional<double> relativeUse = std::nullopt) const;

private:
    const AdmissionBounds m_bounds;
};

}
