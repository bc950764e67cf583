#include "requests/requestrate.h"

#include <charconv>
#include <cmath>
#include <system_error>

namespace briarhinge::requests
{

namespace
{

std::optional<RequestRate> parseRate(std::string_view text)
{
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool isNumber = error == std::errc() && end == text.data() + text.size();
    return isNumber && std::isfinite(value) && value >= 0 ? std::optional(RequestRate(value)) : std::nullopt;
}

}

std::optional<StatedRate> statedRate(const http::Headers &headers, std::string_view fieldName)
{
    if (headers.count(fieldName) == 0) {
        return StatedRate{};
    }
    std::optional<StatedRate> stated;
    for (const auto &[name, value] : headers.fields()) {
        const auto rate = http::isSameFieldName(name, fieldName) ? parseRate(value) : std::nullopt;
        if (rate && (!stated || *rate < *stated->limit)) {
            stated = StatedRate{rate};
        }
    }
    return stated;
}

}
