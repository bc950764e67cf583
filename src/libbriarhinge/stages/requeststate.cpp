#include "stages/requeststate.h"

#include <algorithm>

namespace briarhinge::stages
{

RequestState::RequestState(Time arrivalTime)
    : arrivedAt(arrivalTime)
{
}

bool RequestState::isStoredTurn() const
{
    return route->storesTurns && route->kind == requests::RouteKind::Stream;
}

bool RequestState::isFirstTurn() const
{
    return isStoredTurn() && request.previousTurn.value().empty();
}

bool RequestState::hasBudget() const
{
    return route->kind == requests::RouteKind::Stream && request.programBudget.has_value()
        && request.maxTokens.value() > 0;
}

bool RequestState::isTurn() const
{
    return isStoredTurn() || hasBudget();
}

dispatch::ProgramStage RequestState::programStage() const
{
    const bool begins = isFirstTurn() && beginsProgram.value_or(true);
    return begins ? dispatch::ProgramStage::Begins : dispatch::ProgramStage::UnderWay;
}

bool RequestState::mayBeginProgram() const
{
    const bool showsIt = isStoredTurn() ? request.previousTurn.value().empty() : hasBudget();
    return showsIt && !request.program.value().empty();
}

dispatch::RequestPriority RequestState::priority() const
{
    return {account == nullptr ? std::nullopt : account->priority, route->priority};
}

base::Milliseconds RequestState::remainingTime() const
{
    return std::chrono::duration_cast<base::Milliseconds>(deadline - std::chrono::steady_clock::now());
}

RequestState::Time RequestState::latestEnd(Time start) const
{
    return route->kind == requests::RouteKind::Idempotent ? start + route->latencyTarget : deadline;
}

base::Milliseconds RequestState::elapsedTime() const
{
    return std::chrono::duration_cast<base::Milliseconds>(std::chrono::steady_clock::now() - arrivedAt);
}

std::uint64_t RequestState::tokensPerEvent() const
{
    return placementRequest.engine ? std::max<std::uint64_t>(1, placementRequest.engine->tokensPerEvent.value()) : 1;
}

placement::RequestContent RequestState::content()
{
    if (m_target.empty()) {
        // An account can't have the requests of others quarantined.
        const std::string &caller = request.account.value();
        m_target = (caller.empty() ? caller : caller + '\n') + request.method + ' ' + request.host + request.target;
    }
    return {m_target, prompt, request.body, route->kind == requests::RouteKind::Stream};
}

const base::Digest &RequestState::digest()
{
    if (m_digest.value().empty()) {
        m_digest = placement::contentDigest(content());
    }
    return m_digest;
}

}
