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

/** An entry that waits for the answer of a call. */
template <class SessionT>
struct Listener
{
    std::shared_ptr<SessionT> session;
    std::uint64_t requestId = 0;

    bool operator==(const Listener &) const = default;
};

/** Where a call is on its way. */
enum class JobState {
    Queued,
    Running,
    Ended,
};

/** One call at the runner process. */
template <class SessionT>
struct Job
{
    /** @return the name of its call */
    CallKey key() const
    {
        return {call.call.program, call.call.request.number};
    }

    /** Adds who waits for it, once. @param listener who waits @return whether it was added */
    bool add(const Listener<SessionT> &listener)
    {
        if (std::find(listeners.begin(), listeners.end(), listener) != listeners.end()) {
            return false;
        }
        listeners.push_back(listener);
        return true;
    }

    UpstreamCall call;
    std::string digest;
    /** The blocks of its prompt. */
    std::vector<BlockHash> blocks;
    /** The longest silence of the upstream. */
    base::Milliseconds timeout{0};
    /** Whether it runs alone, since an upstream died while it ran. */
    bool suspect = false;
    JobState state = JobState::Queued;
    std::vector<Listener<SessionT>> listeners;
    std::shared_ptr<Cancellation> cancellation;
    /** Whether to stop it as soon as the upstream has said how. */
    bool cancelled = false;
    /** The answer so far, the part that was there before included. */
    std::string answer;
    base::Timestamp startedAt;
    /** The start, or the last piece of the answer. */
    base::Timestamp lastSign;
    bool hasFirstToken = false;
    base::Milliseconds firstTokenAfter{0};
    /** Since when nobody waits for it; only of use while nobody does. */
    base::Timestamp orphanedAt;
};

}
