#pragma once

#include "dispatch/requestpriority.h"
#include "requests/messages.h"
#include "requests/routing.h"

namespace briarhinge::dispatch
{

/**
 * Computes the urgency of a request, which determines its position in a runner's queue.
 *
 * Requests are ordered by the priority of their account, if it has one, then by that of their route. Within one priority, programs with previous turns come first,
 * because that work would be lost otherwise. Programs that can no longer meet their deadline come after all that can:
 * under overload, they would make the others late as well.
 *
 * @param priority priority of the request
 * @param route route of the request
 * @param request the request
 * @param waited time since the request arrived
 * @return urgency of the request, 0 being the most urgent
 */
requests::Urgency requestUrgency(const RequestPriority &priority, const requests::Route &route,
                                 const requests::CallerRequest &request, base::Milliseconds waited);

}
