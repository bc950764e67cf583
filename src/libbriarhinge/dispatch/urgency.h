#pragma once

#include "forwarding/messages.h"
#include "forwarding/routing.h"

namespace briarhinge::dispatch
{

/**
 * The order in which a runner takes waiting requests: by the route's priority, and of one priority those first whose
 * programs have turns behind them, since those would be lost.
 *
 * @param route the route
 * @param request the request
 * @return its urgency
 */
forwarding::Urgency urgencyOf(const forwarding::Route &route, const forwarding::CallerRequest &request);

}
