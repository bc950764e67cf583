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
 * Computes the digest of a sequence of fields. Each field is hashed with its length, so that different sequences never
 * yield the same hash input.
 *
 * @param fields the fields
 * @return the digest of the sequence
 */
Digest computeDigest(std::initializer_list<std::string_view> fields);

/**
 * Computes a uniformly distributed 64-bit hash that is the same in all processes and versions.
 *
 * @param text the text to hash
 * @return the hash
 */
std::uint64_t stableHash(std::string_view text);

}
