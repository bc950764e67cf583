#pragma once

#include "dispatch/retrydelay.h"
#include "stages/requeststate.h"
#include "stages/stage.h"

#include <functional>
#include <memory>

namespace briarhinge::stages
{

/** What an entry knows of the routing. */
struct RoutingKnowledge
{
    /** Returns the newest known routing; null while none is known. */
    std::function<std::shared_ptr<const requests::Routing>()> current;
    /** Returns whether a newer routing would be known. */
    std::function<bool()> isCertain;
    /** Called when a request asks for a route that only a newer routing may have. */
    std::function<void()> askForNewer;
};

/** Finds the route of a request and the service that it goes to. */
class RouteStage
{
public:
    /**
     * @param state the request
     * @param routing the known routing
     * @param retryDelay computes when callers should come back while the routing is not known for certain
     */
    RouteStage(RequestState &state, const RoutingKnowledge &routing, dispatch::RetryDelay &retryDelay);

    /** @param onResult receives 404 when no route matches, 503 while that may be for lack of knowledge */
    void enter(const StageHandler &onResult);

    void leave()
    {
    }

private:
    void preparePlacement();
    Refusal refuseUnknownRoute();

    RequestState &m_state;
    const RoutingKnowledge &m_routing;
    dispatch::RetryDelay &m_retryDelay;
};

}
