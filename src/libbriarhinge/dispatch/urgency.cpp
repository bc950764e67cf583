#include "dispatch/urgency.h"

#include <algorithm>

namespace briarhinge::dispatch
{

namespace
{

/** Two urgencies for each priority: begun programs and new ones. */
constexpr std::uint32_t stepsForPriority = 2;
/** Least urgent of programs that can be in time: three priorities are told apart. */
constexpr std::uint32_t lastInTime = 5;
/** Least urgent of all, by the users' runners. */
constexpr std::uint32_t leastUrgent = 9;
/** The shortest turns take some 100 ms on an idle runner. */
constexpr base::Milliseconds shortestTurn{100};

bool canBeInTime(const forwarding::CallerRequest &request, base::Milliseconds waited)
{
    return !request.programTimeLeft || *request.programTimeLeft - waited >= shortestTurn;
}

}

forwarding::Urgency urgencyOf(const forwarding::Route &route, const forwarding::CallerRequest &request,
                              base::Milliseconds waited)
{
    if (!canBeInTime(request, waited)) {
        return forwarding::Urgency(std::min(lastInTime + 1 + route.priority, leastUrgent));
    }
    const bool isNew = route.keepsTurns && request.previousTurn.value().empty();
    const std::uint32_t urgency = route.priority * stepsForPriority + (isNew ? 1 : 0);
    return forwarding::Urgency(std::min(urgency, lastInTime));
}

}
