#pragma once

#include "base/units.h"

#include <optional>
#include <string>
#include <string_view>

namespace briarhinge::config
{

/** The longest duration that a declaration may contain. */
inline constexpr base::Milliseconds maxDuration = std::chrono::hours(24 * 30);

/**
 * @param text an integer followed by a unit, such as "250ms", "5s", "10m" or "2h"
 * @return the duration; no value when the text is malformed, not positive or exceeds maxDuration
 */
std::optional<base::Milliseconds> parseDuration(std::string_view text);

/** @return the duration in the largest unit that represents it as an integer */
std::string formatDuration(base::Milliseconds duration);

}
