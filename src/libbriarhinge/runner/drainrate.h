#pragma once

#include "base/units.h"

#include <cstddef>

namespace briarhinge::runner
{

/** Estimates queueing delays from the measured duration of calls. Uses no clock and no locks. */
class DrainRate
{
public:
    /** Records the duration of a completed call. @param duration time that the upstream took for it */
    void recordCallDuration(base::Milliseconds duration);

    /**
     * @param callsAhead number of calls that run first
     * @param limit number of calls that the upstream runs concurrently
     * @return expected time until a call queued behind them starts; zero until a call was measured
     */
    base::Milliseconds expectedWait(std::size_t callsAhead, std::size_t limit) const;

private:
    /** Moving average of the call duration in milliseconds; zero before the first call. */
    double m_meanDurationMs = 0;
};

}
