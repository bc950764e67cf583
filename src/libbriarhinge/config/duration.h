#pragma once

#include "base/units.h"

#include <optional>
#include <string>
#include <string_view>

namespace briarhinge::config
{

/** The longest duration of a declaration. */
inline constexpr base::Milliseconds maxDuration = std::chrono::hours(24 * 30);

/**
 * @param text a whole number and a unit: "250ms", "5s", "10m" or "2h"
 * @return the duration; nothing when the text is none, is zero or is over maxDuration
 */
std::optional<base::Milliseconds> parseDuration(std::string_view text);

/** @return the duration in the largest unit that gives a whole number */
std::string formatDuration(base::Milliseconds duration);

}
