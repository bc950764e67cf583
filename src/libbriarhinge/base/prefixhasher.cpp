#include "base/prefixhasher.h"

#include <array>
#include <cstdint>

#include <openssl/evp.h>

namespace briarhinge::base
{

class PrefixHasher::Private
{
public:
    EVP_MD_CTX *context = EVP_MD_CTX_new();
    EVP_MD_CTX *copy = EVP_MD_CTX_new();
};

PrefixHasher::PrefixHasher(std::string_view field)
    : d(std::make_unique<Private>())
{
    const std::uint64_t length = field.size();
    EVP_DigestInit_ex(d->context, EVP_sha256(), nullptr);
    EVP_DigestUpdate(d->context, &length, sizeof length);
    append(field);
}

PrefixHasher::~PrefixHasher()
{
    EVP_MD_CTX_free(d->context);
    EVP_MD_CTX_free(d->copy);
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
    return toDigest(bytes);
}

}
