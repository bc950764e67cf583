#include "base/prefixhasher.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

#include <openssl/evp.h>

namespace briarhinge::base
{

namespace
{

constexpr std::size_t sha256Bytes = 32;

std::string toHex(const std::array<unsigned char, sha256Bytes> &bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(bytes.size() * 2);
    for (const unsigned char byte : bytes) {
        text.push_back(digits[byte >> 4]);
        text.push_back(digits[byte & 0xf]);
    }
    return text;
}

}

class PrefixHasher::Private
{
public:
    EVP_MD_CTX *context = EVP_MD_CTX_new();
    EVP_MD_CTX *copy = EVP_MD_CTX_new();
};

PrefixHasher::PrefixHasher()
    : d(std::make_unique<Private>())
{
    EVP_DigestInit_ex(d->context, EVP_sha256(), nullptr);
}

PrefixHasher::~PrefixHasher()
{
    EVP_MD_CTX_free(d->context);
    EVP_MD_CTX_free(d->copy);
}

void PrefixHasher::appendField(std::string_view field)
{
    const std::uint64_t length = field.size();
    EVP_DigestUpdate(d->context, &length, sizeof length);
    append(field);
}

void PrefixHasher::append(std::string_view text)
{
    EVP_DigestUpdate(d->context, text.data(), text.size());
}

Digest PrefixHasher::digest() const
{
    std::array<unsigned char, sha256Bytes> bytes{};
    EVP_MD_CTX_copy_ex(d->copy, d->context);
    EVP_DigestFinal_ex(d->copy, bytes.data(), nullptr);
    return Digest(toHex(bytes));
}

}
