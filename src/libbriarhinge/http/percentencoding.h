#pragma once

#include <string>
#include <string_view>

namespace briarhinge::http
{

/**
 * @param text a part of a target, such as a path segment or the value of a query parameter
 * @param alsoPlain characters that stay as they are besides the unreserved ones
 * @return the text with all other characters encoded
 */
std::string percentEncoded(std::string_view text, std::string_view alsoPlain = {});

}
