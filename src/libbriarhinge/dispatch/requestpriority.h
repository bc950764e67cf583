#pragma once

#include <cstdint>
#include <optional>

namespace briarhinge::dispatch
{

/** What the configuration says of the order in which requests run; 0 is the most urgent. */
struct RequestPriority
{
    /** Priority of the caller's account, which goes before that of the route; empty for an account without one. */
    std::optional<std::uint32_t> account;
    std::uint32_t route = 0;

    /** @return whether the request is of the highest priority */
    bool isHighest() const
    {
        return account.value_or(route) == 0;
    }
};

}
