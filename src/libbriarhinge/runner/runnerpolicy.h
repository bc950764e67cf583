#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "runner/callqueue.h"
#include "runner/concurrencylimit.h"
#include "runner/holdtable.h"

#include <map>

namespace briarhinge::runner
{

/** Limits and times of a runner process. */
struct RunnerPolicy
{
    ConcurrencyBounds concurrency;
    QueueWeights queue;
    HoldTimes holds;
    /** A call that would wait longer makes the lowest priority be refused. */
    base::Milliseconds queueWaitLimit{10'000};
    /** Longest silence of the upstream about a call. */
    base::Milliseconds callTimeout{60'000};
    /** The same for single tools. */
    std::map<base::TargetName, base::Milliseconds> toolTimeouts;
    /** An idempotent call without an entry runs on for so long, for a new owner to join it. */
    base::Milliseconds orphanGrace{6000};
    /** How long calls, terms and crashes are remembered. */
    base::Milliseconds keepTime{900'000};
    /** Tokens that fit into the engine's prefix cache. */
    base::Tokens engineCacheTokens{200'000};
};

}
