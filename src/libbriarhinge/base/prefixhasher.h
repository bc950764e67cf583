#pragma once

#include "base/digest.h"

#include <memory>
#include <string_view>

namespace briarhinge::base
{

/** Computes the digests of several beginnings of one text in a single pass. */
class PrefixHasher
{
public:
    /** @param field a field that precedes the text, hashed with its length */
    explicit PrefixHasher(std::string_view field);
    ~PrefixHasher();

    PrefixHasher(const PrefixHasher &) = delete;
    PrefixHasher &operator=(const PrefixHasher &) = delete;

    /** @param text the next part of the text */
    void append(std::string_view text);

    /** @return the digest of the field and of the text so far */
    Digest digest() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
