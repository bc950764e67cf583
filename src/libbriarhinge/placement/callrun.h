#pragma once

#include "placement/calllimits.h"
#include "placement/crash.h"
#include "placement/placer.h"
#include "service/concepts.h"

#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>

namespace briarhinge::placement
{

/** One attempt to run a call on a runner. */
struct Attempt
{
    std::string runner;
    std::shared_ptr<wire::FrameChannel> channel;
    std::uint64_t requestId = 0;
    /** The crash that this attempt would cause. */
    CrashId crash;
    SteadyTime sentAt;
    SteadyTime lastProgress;
    /** Arrival time of the first chunk; not set before. */
    std::optional<SteadyTime> firstChunkAt;
    base::Tokens expectedCachedTokens;
    /** Expected time until the first token when the attempt was sent, in milliseconds. */
    base::Milliseconds expectedTimeToFirstToken{0};
};

/** The state of a call across its attempts. Replies to any attempt but the current one are ignored. */
struct CallRun
{
    /**
     * @param dispatched the call
     * @param callObserver notified of each chunk and of the outcome
     * @param requestToPlace the properties that placement needs
     * @param requestDigest digest of the request that does not depend on the program or account
     * @param callSource origin and priority of the call
     * @param now the current time
     */
    CallRun(core::DispatchCall dispatched, service::DispatchObserver callObserver, PlacementRequest requestToPlace,
            base::Digest requestDigest, CallSource callSource, SteadyTime now)
        : call(std::move(dispatched))
        , observer(std::move(callObserver))
        , placementRequest(std::move(requestToPlace))
        , digest(std::move(requestDigest))
        , source(std::move(callSource))
        , startedAt(now)
    {
    }

    const core::DispatchCall call;
    const service::DispatchObserver observer;
    const PlacementRequest placementRequest;
    /** Digest of the request; equal requests of different programs and accounts have the same one. */
    const base::Digest digest;
    const CallSource source;
    const SteadyTime startedAt;

    std::mutex mutex;
    std::shared_ptr<Attempt> attempt;
    std::set<std::string> triedRunners;
    std::string partialAnswer;
    /** Shortest retry delay that a runner asked for, in milliseconds. */
    std::optional<base::Milliseconds> retryAfter;
    /** Whether an attempt may have reached an upstream: the outcome can no longer be NotRun. */
    bool mayHaveRun = false;
    /** Whether the call runs alone, because an equal request was in flight when an upstream crashed. */
    bool isOnTrial = false;
    bool cancelled = false;
    bool finished = false;

    /** @return whether the call may be retried after an attempt that may have run */
    bool mayRetry() const
    {
        return call.request.idempotent && !cancelled;
    }
};

}
