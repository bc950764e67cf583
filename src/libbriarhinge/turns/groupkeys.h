#pragma once

#include <string_view>

namespace briarhinge::turns
{

/** Common prefix of all keys of this project in the key-value service. */
inline constexpr std::string_view keyPrefix = "briarhinge/";
/** Key of the turn store group. */
inline constexpr std::string_view groupKey = "briarhinge/turn-group";
/** Prefix of the keys under which turn stores register. */
inline constexpr std::string_view registrationPrefix = "briarhinge/turn-stores/";
/** Prefix of the keys under which entries register as relays. */
inline constexpr std::string_view relayPrefix = "briarhinge/relays/";

}
