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
    PrefixHasher();
    ~PrefixHasher();

    PrefixHasher(const PrefixHasher &) = delete;
    PrefixHasher &operator=(const PrefixHasher &) = delete;

    /** @param field a field, hashed with its length so that different sequences of fields differ */
    void appendField(std::string_view field);

    /** @param text the next part of the text */
    void append(std::string_view text);

    /** @return the digest of all fields and of the text so far */
    Digest digest() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
