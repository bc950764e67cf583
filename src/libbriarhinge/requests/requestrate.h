#pragma once

#include "http/headers.h"
#include "requests/messages.h"

#include <optional>
#include <string_view>

namespace briarhinge::requests
{

/**
 * @param headers the header fields of a response
 * @param fieldName name of the field that holds a limit in requests a second, as a decimal number
 * @return the lowest limit in the fields; no limit if there is no field; nothing if there are fields, but none with a number
 */
std::optional<StatedRate> statedRate(const http::Headers &headers, std::string_view fieldName);

}
