#pragma once

#include "base/units.h"

#include <cstdint>

namespace briarhinge::http
{

/** What a server takes from its callers. */
struct ServerLimits
{
    std::uint32_t maxHeadBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = std::uint64_t{4} * 1024 * 1024;
    /** From the first byte of a head to its end. */
    base::Milliseconds headTimeout{3000};
    /** Between two requests. */
    base::Milliseconds idleTimeout{15'000};
    /** Longest time that the peer's kernel may stay silent. */
    base::Milliseconds silenceLimit{6000};
};

}
