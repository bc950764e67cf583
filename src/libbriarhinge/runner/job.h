#pragma once

#include "runner/callregister.h"
#include "runner/upstream.h"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace briarhinge::runner
{

/** A request of an entry that waits for the answer to a call. */
template <class SessionT>
struct Listener
{
    std::shared_ptr<SessionT> session;
    std::uint64_t requestId = 0;

    bool operator==(const Listener &) const = default;
};

/** Processing state of a call. */
enum class JobState {
    Queued,
    Running,
    Ended,
};

/** A call that the runner process queues or runs. */
template <class SessionT>
struct Job
{
    /** @return key of the call */
    CallKey key() const
    {
        return {call.call.program, call.call.request.number};
    }

    /** Adds a listener unless it is already present. @param listener the listener @return whether it was added */
    bool addListener(const Listener<SessionT> &listener)
    {
        if (std::find(listeners.begin(), listeners.end(), listener) != listeners.end()) {
            return false;
        }
        listeners.push_back(listener);
        return true;
    }

    UpstreamCall call;
    std::string digest;
    /** Blocks of the prompt. */
    std::vector<BlockHash> blocks;
    /** Maximum time without data from the upstream. */
    base::Milliseconds timeout{0};
    /** Whether the call must run alone because an upstream crashed while it was running. */
    bool suspect = false;
    JobState state = JobState::Queued;
    std::vector<Listener<SessionT>> listeners;
    std::shared_ptr<Cancellation> cancellation;
    /** Whether to cancel the call as soon as the upstream has returned its cancellation handle. */
    bool cancelled = false;
    /** The answer so far, including the partial answer that the call started with. */
    std::string answer;
    base::Timestamp startedAt;
    /** Time of the last chunk of the answer, or of the start before the first one. */
    base::Timestamp lastActivityAt;
    bool hasFirstToken = false;
    base::Milliseconds timeToFirstToken{0};
    /** Time at which the last listener disconnected; only meaningful without listeners. */
    base::Timestamp orphanedAt;
};

}
