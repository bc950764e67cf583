#pragma once

#include "base/units.h"
#include "requests/routing.h"

#include <optional>

namespace briarhinge::dispatch
{

/** Bounds on the load up to which new programs are admitted, in running and queued requests per slot. */
struct AdmissionBounds
{
    /** For routes of the highest priority. */
    double mostUrgent = 1.5;
    /** For all other routes. */
    double others = 1.25;
};

/**
 * Decides whether a new program may start. Each program that starts on full runners makes all programs under way late:
 * its later turns go before those of newer programs. Beyond the bounds a program does better to come back.
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
     * @param route the route of the turn
     * @param loadPerSlot mean number of running and queued requests per slot of the service, if it is known
     * @return the time after which the caller may try again if the program must not start now
     */
    std::optional<base::Milliseconds> refusal(const requests::Route &route, std::optional<double> loadPerSlot) const;

private:
    const AdmissionBounds m_bounds;
};

}
