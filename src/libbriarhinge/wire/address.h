#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace briarhinge::wire
{

/** Where a process listens. */
struct Address
{
    /** IP number as text. */
    std::string host;
    std::uint16_t port = 0;

    auto operator<=>(const Address &) const = default;
};

/**
 * @param text host and port, as "127.0.0.1:7000"
 * @return the address, or nothing when the text is not one
 */
std::optional<Address> parseAddress(std::string_view text);

/** @return the address as "host:port" */
std::string toString(const Address &address);

}
