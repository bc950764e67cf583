#include "forwarding/secondtry.h"

#include <chrono>
#include <utility>
#include <variant>

namespace briarhinge::forwarding
{

SecondTry::SecondTry(ExchangeContext &context, const stages::RequestState &state)
    : m_shared(context)
    , m_state(state)
    , m_timer(context.context)
{
}

void SecondTry::schedule(std::function<void()> onLate)
{
    const requests::Route &route = *m_state.route;
    if (route.kind != requests::RouteKind::Idempotent || route.maxAttempts < 2) {
        return;
    }
    const auto late = m_shared.secondTries.requestSent(route.name);
    if (!late) {
        return;
    }
    m_timer.expires_after(*late);
    m_timer.async_wait([onLate = std::move(onLate)](const boost::system::error_code &error) {
        if (!error) {
            onLate();
        }
    });
}

std::optional<dispatch::Placement> SecondTry::decide(const dispatch::Placement &first)
{
    dispatch::PlacementRequest request = m_state.placementRequest;
    request.excluded.insert(first.id);
    const auto selection = m_shared.balancer.selectRunner(request, std::chrono::steady_clock::now());
    const auto *second = std::get_if<dispatch::Placement>(&selection);
    // A runner with a limit has none to spare, and a suspect runs alone.
    const bool hasRunner = second != nullptr && second->permitCandidates.empty() && !request.isSuspect;
    const auto decision = hasRunner ? limitedDecision() : dispatch::SecondTryDecision::NoRoom;
    m_shared.metrics.secondTry(dispatch::decisionName(decision));
    if (decision != dispatch::SecondTryDecision::Send) {
        return std::nullopt;
    }
    m_shared.log.secondTry(m_state.record, first, *second, m_state.elapsedTime());
    return *second;
}

dispatch::SecondTryDecision SecondTry::limitedDecision()
{
    const bool isCapped = m_state.account != nullptr && m_state.account->cap;
    if (isCapped && !m_shared.usage.takeAtHand(m_state.account->id)) {
        return dispatch::SecondTryDecision::LimitReached;
    }
    const auto now = std::chrono::steady_clock::now();
    return m_shared.secondTries.decide(m_shared.balancer.loadPerSlot(m_state.placementRequest.service, now));
}

void SecondTry::cancel()
{
    m_timer.cancel();
}

}
