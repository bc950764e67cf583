#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "core/outcome.h"

#include <map>
#include <string>
#include <utility>
#include <variant>

namespace briarhinge::runner
{

/** Identifies a call within the deployment. */
using CallKey = std::pair<base::ProgramId, base::CallNumber>;

/** A call that an entry asks this runner to execute. */
struct IncomingCall
{
    CallKey key;
    /** Digest of everything that determines what the call does. */
    std::string digest;
    /** Fencing token of the requesting owner; zero if owners are not fenced. */
    base::Term term;
    bool idempotent = true;
};

/** The call is new to this runner and may run. */
struct RunNewCall
{
};

/** The same call is already queued or running; the second requester gets the same answer. */
struct JoinExistingCall
{
};

/** The call gets this outcome without running. */
struct ReturnOutcome
{
    core::Outcome outcome;
};

/** Decision on an incoming call. */
using ArrivalDecision = std::variant<RunNewCall, JoinExistingCall, ReturnOutcome>;

/**
 * Deduplicates calls, so that a non-idempotent call runs at most once on this runner. Uses no clock and no locks.
 *
 * Also rejects owners whose term is older than the highest term seen for the program. Ended calls and terms expire
 * after a retention time. The register therefore detects repeats only within that time; the claim in the owner's log
 * detects all of them.
 */
class CallRegister
{
public:
    /** @param retention how long ended calls and terms are retained */
    explicit CallRegister(base::Milliseconds retention);

    /**
     * Decides on an incoming call. A call that may run is registered as in progress.
     *
     * @param arrival the call
     * @param now current time
     * @return whether the call runs, joins a call in progress, or gets a known outcome
     */
    ArrivalDecision handleArrival(const IncomingCall &arrival, base::Timestamp now);

    /**
     * Records the outcome of a call.
     *
     * @param key the call
     * @param outcome its outcome; after NotRun the call may be registered again
     * @param wasDelivered whether a listener waited for the outcome; otherwise an answer is kept for the next requester
     * @param now current time
     */
    void recordOutcome(const CallKey &key, const core::Outcome &outcome, bool wasDelivered, base::Timestamp now);

    /** Removes ended calls and terms that are older than the retention time. @param now current time */
    void expire(base::Timestamp now);

    /** @return number of registered calls */
    std::size_t size() const;

private:
    struct Call
    {
        std::string digest;
        bool idempotent = true;
        bool inProgress = true;
        core::Outcome outcome;
        base::Timestamp endedAt;
    };

    struct LatestTerm
    {
        base::Term term;
        base::Timestamp updatedAt;
    };

    /** Records the term of a call's owner. @return whether it is stale, so that it was not recorded */
    bool hasStaleTerm(const IncomingCall &arrival, base::Timestamp now);

    const base::Milliseconds m_retention;
    std::map<CallKey, Call> m_calls;
    std::map<base::ProgramId, LatestTerm> m_terms;
};

}
