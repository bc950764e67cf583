#include "base/digest.h"

#include "base/prefixhasher.h"

namespace briarhinge::base
{

Digest computeDigest(std::initializer_list<std::string_view> fields)
{
    PrefixHasher hasher;
    for (const std::string_view field : fields) {
        hasher.appendField(field);
    }
    return hasher.digest();
}

std::uint64_t stableHash(std::string_view text)
{
    // FNV-1a followed by the 64-bit finalizer of MurmurHash3. FNV-1a alone maps similar names to similar hashes.
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const char character : text) {
        hash ^= static_cast<unsigned char>(character);
        hash *= 0x100000001b3ULL;
    }
    hash ^= hash >> 33;
    hash *= 0xff51afd7ed558ccdULL;
    hash ^= hash >> 33;
    hash *= 0xc4ceb9fe1a85ec53ULL;
    hash ^= hash >> 33;
    return hash;
}

}
