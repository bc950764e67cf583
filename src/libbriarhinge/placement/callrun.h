#pragma once

#include "placement/calllimits.h"
#include "placement/placer.h"
#include "service/concepts.h"

#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>

namespace briarhinge::placement
{

/** One attempt at a call, at one runner. */
struct Attempt
{
    std::string runner;
    std::shared_ptr<wire::FrameChannel> channel;
    std::uint64_t requestId = 0;
    SteadyTime sentAt;
    SteadyTime lastProgress;
    /** When its first piece came; not set before. */
    std::optional<SteadyTime> firstPiece;
    base::Tokens expectedCached;
    /** Expected time to the first token, as seen when it was sent. */
    base::Milliseconds expectedTime{0};
};

/** One call on its way through its attempts; only the present attempt counts. */
struct CallRun
{
    /**
     * @param dispatched the call
     * @param follower is told of each piece and of the end
     * @param placed the call as placement sees it
     * @param name names what is asked, whoever asks
     * @param from who makes the call
     * @param now the time
     */
    CallRun(core::DispatchCall dispatched, service::DispatchObserver follower, PlacementSubject placed,
            base::Digest name, CallSource from, SteadyTime now)
        : call(std::move(dispatched))
        , observer(std::move(follower))
        , subject(std::move(placed))
        , digest(std::move(name))
        , source(std::move(from))
        , startedAt(now)
    {
    }

    const core::DispatchCall call;
    const service::DispatchObserver observer;
    const PlacementSubject subject;
    /** Names what is asked, whoever asks. */
    const base::Digest digest;
    const CallSource source;
    const SteadyTime startedAt;

    std::mutex mutex;
    std::shared_ptr<Attempt> attempt;
    std::set<std::string> tried;
    std::string answerSoFar;
    /** The shortest time to come back that a runner gave. */
    std::optional<base::Milliseconds> retryAfter;
    /** Whether an attempt so far may have reached an upstream: NotRun is no honest end any more. */
    bool mayHaveRun = false;
    /** Whether it is on trial: it was in flight when an upstream crashed. */
    bool isOnTrial = false;
    bool cancelled = false;
    bool finished = false;

    /** @return whether another attempt may be made after one that may have run */
    bool mayRunAgain() const
    {
        return call.request.idempotent && !cancelled;
    }
};

}
