#include "dispatch/urgency.h"

#include <algorithm>

namespace briarhinge::dispatch
{

namespace
{

/** Each priority has two urgency levels: one for programs with previous turns, one for new programs. */
constexpr std::uint32_t levelsPerPriority = 2;
/** Least urgent level for programs that can meet their deadline; three priorities are distinguished. */
constexpr std::uint32_t leastUrgentOnTime = 5;
/** Least urgent level that the users' runners support. */
constexpr std::uint32_t leastUrgent = 9;
/** The shortest turns take about 100 ms on an idle runner. */
constexpr base::Milliseconds minTurnDuration{100};

bool canMeetDeadline(const requests::CallerRequest &request, base::Milliseconds waited)
{
    return !request.programTimeLeft || *request.programTimeLeft - waited >= minTurnDuration;
}

}

requests::Urgency requestUrgency(const requests::Route &route, const requests::CallerRequest &request,
                                 base::Milliseconds waited)
{
    if (!canMeetDeadline(request, waited)) {
        return requests::Urgency(std::min(leastUrgentOnTime + 1 + route.priority, leastUrgent));
    }
    const bool isNew = route.storesTurns && request.previousTurn.value().empty();
    const std::uint32_t urgency = route.priority * levelsPerPriority + (isNew ? 1 : 0);
    return requests::Urgency(std::min(urgency, leastUrgentOnTime));
}

}
