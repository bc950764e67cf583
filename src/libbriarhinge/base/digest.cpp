#include "base/digest.h"

#include <array>

#include <openssl/evp.h>

namespace briarhinge::base
{

Digest toDigest(std::span<const unsigned char, sha256Bytes> bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(bytes.size() * 2);
    for (const unsigned char byte : bytes) {
        text.push_back(digits[byte >> 4]);
        text.push_back(digits[byte & 0xf]);
    }
    return Digest(text);
}

Digest computeDigest(std::initializer_list<std::string_view> fields)
{
    std::array<unsigned char, sha256Bytes> bytes{};
    EVP_MD_CTX *context = EVP_MD_CTX_new();
    EVP_DigestInit_ex(context, EVP_sha256(), nullptr);
    for (const std::string_view field : fields) {
        const std::uint64_t length = field.size();
        EVP_DigestUpdate(context, &length, sizeof length);
        EVP_DigestUpdate(context, field.data(), field.size());
    }
    EVP_DigestFinal_ex(context, bytes.data(), nullptr);
    EVP_MD_CTX_free(context);
    return toDigest(bytes);
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
