#pragma once

#include "base/strongtype.h"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace briarhinge::base
{

/** A SHA-256 digest as 64 lower-case hexadecimal digits. */
using Digest = StrongType<struct DigestTag, std::string>;

/**
 * Digests a sequence of fields so that no two different sequences share an input.
 *
 * @param fields the fields, each hashed with its length
 * @return the digest of the sequence
 */
Digest digestOf(std::initializer_list<std::string_view> fields);

/**
 * Spreads text evenly over 64 bits; stable between processes and versions.
 *
 * @param text the text to hash
 * @return the hash
 */
std::uint64_t stableHash(std::string_view text);

}
