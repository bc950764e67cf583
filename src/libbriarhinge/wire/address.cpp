#include "wire/address.h"

#include <charconv>

namespace briarhinge::wire
{

std::optional<Address> parseAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) {
        return std::nullopt;
    }
    const std::string_view port = text.substr(colon + 1);
    std::uint16_t number = 0;
    const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), number);
    if (error != std::errc{} || end != port.data() + port.size()) {
        return std::nullopt;
    }
    return Address{std::string(text.substr(0, colon)), number};
}

std::string toString(const Address &address)
{
    return address.host + ":" + std::to_string(address.port);
}

}
