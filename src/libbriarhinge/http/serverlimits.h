#pragma once

#include "base/units.h"

#include <cstdint>

namespace briarhinge::http
{

/** Limits for the requests and connections of callers. */
struct ServerLimits
{
    std::uint32_t maxHeadBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = std::uint64_t{4} * 1024 * 1024;
    /** Time from the first byte of a head to its end. */
    base::Milliseconds headTimeout{3000};
    /** Time from the end of a head to the end of its body; allows for a body of the maximum size over a slow link. */
    base::Milliseconds bodyTimeout{10'000};
    /** Time between two requests. */
    base::Milliseconds idleTimeout{15'000};
    /** Maximum time without a sign of life from the peer's TCP stack. */
    base::Milliseconds peerTimeout{6000};
};

}
