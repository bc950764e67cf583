#include "dispatch/urgency.h"

#include <algorithm>

namespace briarhinge::dispatch
{

namespace
{

/** Each priority has two urgency levels: one for programs with previous turns, one for new programs. */
constexpr std::uint32_t levelsPerPriority = 2;
/**
 * Each priority of an account has three: for the most urgent routes those two, and one for all others. Accounts of the
 * second priority and below share their levels.
 */
constexpr std::uint32_t levelsPerAccountPriority = 3;
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

requests::Urgency requestUrgency(const RequestPriority &priority, const requests::Route &route,
                                 const requests::CallerRequest &request, base::Milliseconds waited)
{
    if (!canMeetDeadline(request, waited)) {
        return requests::Urgency(std::min(leastUrgentOnTime + 1 + priority.route, leastUrgent));
    }
    const bool isNew = route.storesTurns && request.previousTurn.value().empty();
    if (priority.account) {
        const std::uint32_t level = priority.route == 0 ? (isNew ? 1 : 0) : levelsPerAccountPriority - 1;
        const std::uint32_t last = leastUrgentOnTime / levelsPerAccountPriority;
        return requests::Urgency(std::min(*priority.account, last) * levelsPerAccountPriority + level);
    }
    const std::uint32_t urgency = priority.route * levelsPerPriority + (isNew ? 1 : 0);
    return requests::Urgency(std::min(urgency, leastUrgentOnTime));
}

}
