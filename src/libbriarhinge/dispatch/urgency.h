#pragma once

#include "forwarding/messages.h"
#include "forwarding/routing.h"

namespace briarhinge::dispatch
{

/**
 * The order in which a runner takes waiting requests: by the route's priority, and of one priority those first whose
 * programs have turns behind them, since those would be lost. Programs that can't be finished in time any more come
 * behind all that can: under overload, the others would be late as well.
 *
 * @param route the route
 * @param request the request
 * @param waited how long the request has been here
 * @return its urgency
 */
forwarding::Urgency urgencyOf(const forwarding::Route &route, const forwarding::CallerRequest &request,
                              base::Milliseconds waited);

}
