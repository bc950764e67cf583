#include "config/duration.h"

#include <array>
#include <charconv>

namespace briarhinge::config
{

namespace
{

struct Unit
{
    std::string_view suffix;
    base::Milliseconds length;
};

constexpr std::array units{
    Unit{"h", std::chrono::hours(1)},
    Unit{"m", std::chrono::minutes(1)},
    Unit{"s", std::chrono::seconds(1)},
    Unit{"ms", base::Milliseconds(1)},
};

}

std::optional<base::Milliseconds> parseDuration(std::string_view text)
{
    std::int64_t count = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), count);
    if (error != std::errc{} || count <= 0) {
        return std::nullopt;
    }
    const std::string_view suffix = text.substr(static_cast<std::size_t>(end - text.data()));
    for (const Unit &unit : units) {
        if (suffix == unit.suffix && count <= maxDuration / unit.length) {
            return count * unit.length;
        }
    }
    return std::nullopt;
}

std::string formatDuration(base::Milliseconds duration)
{
    for (const Unit &unit : units) {
        if (duration % unit.length == base::Milliseconds(0)) {
            return std::to_string(duration / unit.length) + std::string(unit.suffix);
        }
    }
    return {};
}

}
