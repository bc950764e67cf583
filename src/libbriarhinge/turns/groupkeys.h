#pragma once

#include <string_view>

namespace briarhinge::turns
{

/** Key of the group in the key-value service. */
inline constexpr std::string_view groupKey = "briarhinge/turn-group";
/** Prefix of the keys under which turn stores register. */
inline constexpr std::string_view registrationPrefix = "briarhinge/turn-stores/";

}
