#include "dispatch/urgency.h"

#include <algorithm>

namespace briarhinge::dispatch
{

namespace
{

/** Two urgencies for each priority: begun programs and new ones. */
constexpr std::uint32_t stepsForPriority = 2;
constexpr std::uint32_t leastUrgent = 9;

}

forwarding::Urgency urgencyOf(const forwarding::Route &route, const forwarding::CallerRequest &request)
{
    const bool isNew = route.keepsTurns && request.previousTurn.value().empty();
    const std::uint32_t urgency = route.priority * stepsForPriority + (isNew ? 1 : 0);
    return forwarding::Urgency(std::min(urgency, leastUrgent));
}

}
