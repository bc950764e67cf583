#pragma once

#include "http/listener.h"

#include <limits>

namespace standins::platform
{

/** @return limits that no test reaches */
inline briarhinge::http::ListenerLimits unlimitedResources()
{
    constexpr std::size_t unlimited = std::numeric_limits<std::size_t>::max() / 2;
    return {briarhinge::base::MemoryBudget(unlimited), unlimited};
}

}
