#pragma once

#include "dispatch/retrydelay.h"
#include "stages/requeststate.h"
#include "stages/stage.h"

#include <functional>
#include <memory>

namespace briarhinge::stages
{

/** Finds the route of a request and the service that it goes to. */
class RouteStage
{
public:
    /** Returns the routing in force; null while none is known. */
    using RoutingSource = std::function<std::shared_ptr<const requests::Routing>()>;

    /**
     * @param state the request
     * @param routing returns the routing in force
     * @param retryDelay computes when callers should come back while no routing is known
     */
    RouteStage(RequestState &state, const RoutingSource &routing, dispatch::RetryDelay &retryDelay);

    /** @param onResult receives 404 when no route matches, 503 while no routing is known */
    void enter(const StageHandler &onResult);

    void leave()
    {
    }

private:
    void preparePlacement();

    RequestState &m_state;
    const RoutingSource &m_routing;
    dispatch::RetryDelay &m_retryDelay;
};

}
