#include "stages/routestage.h"

#include <algorithm>

namespace briarhinge::stages
{

RouteStage::RouteStage(RequestState &state, const RoutingKnowledge &routing, dispatch::RetryDelay &retryDelay)
    : m_state(state)
    , m_routing(routing)
    , m_retryDelay(retryDelay)
{
}

void RouteStage::enter(const StageHandler &onResult)
{
    m_state.routing = m_routing.current();
    if (!m_state.routing) {
        onResult(refusal("no routing is known yet", m_retryDelay.recordFailure(std::chrono::steady_clock::now())));
        return;
    }
    m_state.route = m_state.routing->find(m_state.request.host, m_state.request.path);
    if (m_state.route == nullptr) {
        onResult(refuseUnknownRoute());
        return;
    }
    const requests::Route &route = *m_state.route;
    m_state.record.route = route.name.value();
    m_state.record.routing = m_state.routing->version().value();
    m_state.deadline = m_state.arrivedAt + std::min(m_state.request.timeout.value_or(route.timeout), route.timeout);
    preparePlacement();
    onResult(Proceed{});
}

Refusal RouteStage::refuseUnknownRoute()
{
    if (m_routing.isCertain()) {
        return {statusNotFound, requests::Outcome::Rejected, "no route", std::nullopt};
    }
    m_routing.askForNewer();
    return refusal("no route in a routing that may be old",
                   m_retryDelay.recordFailure(std::chrono::steady_clock::now()));
}

void RouteStage::preparePlacement()
{
    const requests::CallerRequest &request = m_state.request;
    const std::string &program = request.program.value();
    dispatch::PlacementRequest &placement = m_state.placementRequest;
    placement.service = requests::chooseService(*m_state.route, program.empty() ? request.id.value() : program);
    if (const requests::Service *service = m_state.routing->service(placement.service)) {
        placement.engine = service->engine;
    }
    placement.promptBlocks = request.promptBlocks;
    placement.promptTokens = request.promptTokens;
}

}
