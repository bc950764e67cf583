#include "dispatch/urgency.h"

#include <algorithm>

namespace briarhinge::dispatch
{

namespace
{

/** Each priority has two urgency levels: one for programs with previous turns, one for new programs. */
constexpr std::uint32_t stepsForPriority = 2;
/** Least urgent level for programs that can meet their deadline; three priorities are distinguished. */
constexpr std::uint32_t lastInTime = 5;
/** Least urgent level that the users' runners support. */
constexpr std::uint32_t leastUrgent = 9;
/** The shortest turns take about 100 ms on an idle runner. */
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
