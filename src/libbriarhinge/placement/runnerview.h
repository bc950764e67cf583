#pragma once

#include "base/ids.h"
#include "base/units.h"

#include <algorithm>
#include <cstdint>
#include <string>

namespace briarhinge::placement
{

/** State of a runner process as seen by this entry. */
struct RunnerView
{
    std::string name;
    base::ZoneName zone;
    bool leaving = false;
    /** Failed or stalled recently: chosen only when no other runner is eligible. */
    bool avoided = false;
    /** Failed and has made no progress since: gets only idempotent calls, one at a time. */
    bool onProbation = false;
    /** Calls from this entry that are in flight on the runner. */
    std::uint32_t outstanding = 0;
    /** Calls that this entry sent to the runner since its last load report. */
    std::uint32_t sentSinceReport = 0;
    /** Running and queued calls, as last reported by the runner process. */
    std::uint32_t reportedLoad = 0;
    /** Maximum number of calls that run on the upstream concurrently; zero until reported. */
    std::uint32_t concurrencyLimit = 0;
    /** Prefill time of an uncached prompt token, in milliseconds; zero until reported. */
    double prefillMsPerToken = 0;
    /** Smoothed mean duration of a call from its first chunk to its end, in milliseconds; zero before the first. */
    double meanCallDurationMs = 0;
    /** Programs of this entry that have not ended and whose last model call ran on the runner. */
    std::uint32_t homePrograms = 0;

    /**
     * Estimates the load from the last report and the calls sent since.
     *
     * @return the estimated number of running and queued calls
     */
    std::uint32_t estimatedLoad() const
    {
        return std::max(outstanding, reportedLoad + sentSinceReport);
    }
};

}
