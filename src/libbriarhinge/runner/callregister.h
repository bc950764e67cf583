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

/** Names a call in the deployment. */
using CallKey = std::pair<base::ProgramId, base::CallNumber>;

/** A call as an entry asks for it. */
struct CallArrival
{
    CallKey key;
    /** Digest of all that decides what the call does. */
    std::string digest;
    /** Fencing number of the owner that asks; zero where owners have none. */
    base::Term term;
    bool idempotent = true;
};

/** The call is new here: it may run. */
struct MayRun
{
};

/** The same call waits or runs already: its answer is also that of the second asker. */
struct JoinsRunning
{
};

/** The call gets this outcome without being run. */
struct AnsweredAlready
{
    core::Outcome outcome;
};

/** What becomes of a call that arrives. */
using ArrivalVerdict = std::variant<MayRun, JoinsRunning, AnsweredAlready>;

/**
 * Remembers calls, so that a non-idempotent one runs at most once here. Free of clocks and locks.
 *
 * It also refuses owners whose term is older than one that it has seen for the program. What it keeps of ended calls and
 * of terms is bounded by age: it guards against repeats within that time, the claim in the owner's log against all.
 */
class CallRegister
{
public:
    /** @param keepTime how long an ended call and a term are remembered */
    explicit CallRegister(base::Milliseconds keepTime);

    /** Takes in a call and, when it may run, counts it as in progress. @param arrival the call @param now the time */
    ArrivalVerdict arrive(const CallArrival &arrival, base::Timestamp now);

    /**
     * The call ended.
     *
     * @param key the call
     * @param outcome its outcome; NotRun lets it come again
     * @param wasHeard whether anyone waited for it; an answer that nobody heard is kept for the next asker
     * @param now the time
     */
    void ended(const CallKey &key, const core::Outcome &outcome, bool wasHeard, base::Timestamp now);

    /** Forgets what is older than the time to keep. @param now the time */
    void expire(base::Timestamp now);

    /** @return how many calls are remembered */
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

    struct SeenTerm
    {
        base::Term term;
        base::Timestamp seenAt;
    };

    bool isStale(const CallArrival &arrival, base::Timestamp now);

    const base::Milliseconds m_keepTime;
    std::map<CallKey, Call> m_calls;
    std::map<base::ProgramId, SeenTerm> m_terms;
};

}
