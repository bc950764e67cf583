#pragma once

#include <cstdint>
#include <span>

namespace briarhinge::fuzz
{

/**
 * Passes bytes to one of the parsers of external input and checks that the result is valid if it is accepted.
 *
 * @param input any bytes; the first one selects the parser
 * @return whether the parser accepted the bytes
 */
bool feed(std::span<const std::uint8_t> input);

}
