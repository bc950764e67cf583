#pragma once

#include "base/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace briarhinge::accounts
{

/** How many requests a client account may send through all entries together. */
struct UsageCap
{
    /** Requests a second in the long run. */
    double requestsPerSecond = 0;
    /** Requests beyond that which may be sent at once. */
    double burst = 0;

    bool operator==(const UsageCap &) const = default;
};

/** A client account as the configuration declares it. */
struct Account
{
    base::AccountId id;
    /** Replaces the priority of the routes; 0 is the most urgent. */
    std::optional<std::uint32_t> priority;
    /** Empty for an account that may send any number of requests. */
    std::optional<UsageCap> cap;
};

/** What a caller presents to be recognized. */
struct Credentials
{
    /** Values of the header field, as received. */
    std::vector<std::string> fields;
    /** The key of an account; empty when the fields hold none, or more than one. */
    std::string key;
};

}
