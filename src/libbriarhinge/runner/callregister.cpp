#include "runner/callregister.h"

#include <algorithm>

namespace briarhinge::runner
{

CallRegister::CallRegister(base::Milliseconds retention)
    : m_retention(retention)
{
}

ArrivalDecision CallRegister::handleArrival(const IncomingCall &arrival, base::Timestamp now)
{
    if (hasStaleTerm(arrival, now)) {
        // The outcome can't be NotRun, since the newer owner may have run the same call on another runner.
        return ReturnOutcome{core::Unknown{"term " + std::to_string(arrival.term.value())
                                           + " is older than the present owner's of program \""
                                           + arrival.key.first.value() + "\""}};
    }
    const auto found = m_calls.find(arrival.key);
    if (found == m_calls.end()) {
        m_calls[arrival.key] = {arrival.digest, arrival.idempotent, true, core::Outcome{}, {}};
        return RunNewCall{};
    }
    const Call &existing = found->second;
    if (existing.digest != arrival.digest) {
        return ReturnOutcome{core::Unknown{"another request was given to this runner as call "
                                           + std::to_string(arrival.key.second.value()) + " of program \""
                                           + arrival.key.first.value() + "\""}};
    }
    if (existing.inProgress) {
        return JoinExistingCall{};
    }
    return ReturnOutcome{existing.outcome};
}

void CallRegister::recordOutcome(const CallKey &key, const core::Outcome &outcome, bool wasDelivered,
                                 base::Timestamp now)
{
    const auto found = m_calls.find(key);
    if (found == m_calls.end()) {
        return;
    }
    const bool mayRunAgain =
        found->second.idempotent && (wasDelivered || !std::holds_alternative<core::Completed>(outcome));
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
        return !item.second.inProgress && item.second.endedAt + m_retention < now;
    });
    std::erase_if(m_terms, [&](const auto &item) {
        return item.second.updatedAt + m_retention < now;
    });
}

std::size_t CallRegister::size() const
{
    return m_calls.size();
}

bool CallRegister::hasStaleTerm(const IncomingCall &arrival, base::Timestamp now)
{
    if (arrival.term == base::Term(0)) {
        return false;
    }
    LatestTerm &latest = m_terms[arrival.key.first];
    if (arrival.term < latest.term) {
        return true;
    }
    latest = {arrival.term, now};
    return false;
}

}
