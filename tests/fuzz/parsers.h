#pragma once

#include <cstdint>
#include <span>

namespace briarhinge::fuzz
{

/**
 * Gives bytes to every parser of what comes from outside, and checks that what they accept is valid.
 *
 * @param input any bytes; the first one chooses the parser
 * @return whether the parser accepted them
 */
bool feed(std::span<const std::uint8_t> input);

}
