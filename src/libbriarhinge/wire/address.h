#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace briarhinge::wire
{

/** IP address and port that a process listens on. */
struct Address
{
    /** IP address as text. */
    std::string host;
    std::uint16_t port = 0;

    auto operator<=>(const Address &) const = default;
};

/**
 * @param text IP address and port, such as "127.0.0.1:7000"
 * @return the address, or nothing if the text has no valid port
 */
std::optional<Address> parseAddress(std::string_view text);

/** @return the address as "host:port" */
std::string toString(const Address &address);

}
