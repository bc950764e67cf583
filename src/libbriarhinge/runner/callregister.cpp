#include "runner/callregister.h"

#include <algorithm>

namespace briarhinge::runner
{

CallRegister::CallRegister(base::Milliseconds keepTime)
    : m_keepTime(keepTime)
{
}

ArrivalVerdict CallRegister::arrive(const CallArrival &arrival, base::Timestamp now)
{
    if (isStale(arrival, now)) {
        // The outcome can't be NotRun, since the newer owner may have run the same call on another runner.
        return AnsweredAlready{core::Unknown{"term " + std::to_string(arrival.term.value())
                                             + " is older than the present owner's of program \""
                                             + arrival.key.first.value() + "\""}};
    }
    const auto found = m_calls.find(arrival.key);
    if (found == m_calls.end()) {
        m_calls[arrival.key] = {arrival.digest, arrival.idempotent, true, core::Outcome{}, {}};
        return MayRun{};
    }
    const Call &known = found->second;
    if (known.digest != arrival.digest) {
        return AnsweredAlready{core::Unknown{"another request was given to this runner as call "
                                             + std::to_string(arrival.key.second.value()) + " of program \""
                                             + arrival.key.first.value() + "\""}};
    }
    if (known.inProgress) {
        return JoinsRunning{};
    }
    return AnsweredAlready{known.outcome};
}

void CallRegister::ended(const CallKey &key, const core::Outcome &outcome, bool wasHeard, base::Timestamp now)
{
    const auto found = m_calls.find(key);
    if (found == m_calls.end()) {
        return;
    }
    const bool mayRunAgain =
        found->second.idempotent && (wasHeard || !std::holds_alternative<core::Completed>(outcome));
    if (mayRunAgain || std::holds_alternative<core::NotRun>(outcome)) {
        m_calls.erase(found);
        return;
    }
    found->second.inProgress = false;
    found->second.outcome = outcome;
    found->second.endedAt = now;
}

void CallRegister::expire(base::Timestamp now)
{
    std::erase_if(m_calls, [&](const auto &item) {
        return !item.second.inProgress && item.second.endedAt + m_keepTime < now;
    });
    std::erase_if(m_terms, [&](const auto &item) {
        return item.second.seenAt + m_keepTime < now;
    });
}

std::size_t CallRegister::size() const
{
    return m_calls.size();
}

bool CallRegister::isStale(const CallArrival &arrival, base::Timestamp now)
{
    if (arrival.term == base::Term(0)) {
        return false;
    }
    SeenTerm &seen = m_terms[arrival.key.first];
    if (arrival.term < seen.term) {
        return true;
    }
    seen = {arrival.term, now};
    return false;
}

}
