#pragma once

#include "base/ids.h"
#include "base/units.h"

#include <algorithm>
#include <cstdint>
#include <string>

namespace briarhinge::placement
{

/** A runner process as this entry knows it. */
struct RunnerView
{
    std::string name;
    base::ZoneName zone;
    bool leaving = false;
    /** Failed or stood still lately: used only when nothing else is left. */
    bool avoided = false;
    /** Failed and has made no progress since: takes idempotent calls only, one at a time. */
    bool onProbation = false;
    /** Calls that this entry has under way there. */
    std::uint32_t outstanding = 0;
    /** Calls that this entry sent there since the last report. */
    std::uint32_t sentSinceReport = 0;
    /** Running and queued calls, as last reported by the runner process. */
    std::uint32_t reportedBusy = 0;
    /** Calls that the upstream gets at once; zero when not reported yet. */
    std::uint32_t limit = 0;
    /** Time of a prompt token that is not cached; zero when not reported. */
    double prefillMsPerToken = 0;
    /** Smoothed time from sending a call to its end; zero before the first. */
    double meanCallMs = 0;
    /** Programs of this entry that ran there last and have not ended. */
    std::uint32_t programs = 0;

    /** @return calls that run or wait there: the last report, corrected by what was sent since */
    std::uint32_t busy() const
    {
        return std::max(outstanding, reportedBusy + sentSinceReport);
    }
};

}
