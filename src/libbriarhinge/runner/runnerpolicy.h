#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "runner/callqueue.h"
#include "runner/concurrencylimit.h"
#include "runner/holdtable.h"

#include <map>

namespace briarhinge::runner
{

/** Limits and timeouts of a runner process. */
struct RunnerPolicy
{
    ConcurrencyBounds concurrency;
    QueueWeights queue;
    HoldTimes holds;
    /** If the expected wait of a new call is longer, the queued call of lowest rank is rejected. */
    base::Milliseconds maxQueueWait{10'000};
    /** Maximum time without data from the upstream during a call. */
    base::Milliseconds callTimeout{60'000};
    /** Overrides of callTimeout for individual tools. */
    std::map<base::TargetName, base::Milliseconds> toolTimeouts;
    /** How long an idempotent call keeps running without a connected entry, so that a new owner can join it. */
    base::Milliseconds orphanGracePeriod{6000};
    /** How long calls, terms and crashes are retained. */
    base::Milliseconds retention{900'000};
    /** Number of tokens that fit into the engine's prefix cache. */
    base::Tokens engineCacheTokens{200'000};
};

}
