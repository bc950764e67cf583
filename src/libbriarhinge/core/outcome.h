#pragma once

#include "base/units.h"

#include <optional>
#include <string>
#include <variant>

namespace briarhinge::core
{

/** Resources consumed by a call. */
struct Usage
{
    /** Number of prompt tokens. */
    base::Tokens prompt;
    /** Number of prompt tokens that the engine read from its cache. */
    base::Tokens cached;
    /** Number of generated tokens. */
    base::Tokens completion;
    /** Price of the call. */
    base::MicroMoney money;

    bool operator==(const Usage &) const = default;
};

/** The call ran and returned a complete answer. */
struct Completed
{
    std::string answer;
    Usage usage;

    bool operator==(const Completed &) const = default;
};

/** The call was not run: no byte of it was sent to an upstream, or the upstream process rejected it. */
struct NotRun
{
    std::string reason;
    /** Delay after which a retry makes sense; absent if no retry can succeed. */
    std::optional<base::Milliseconds> retryAfter;

    bool operator==(const NotRun &) const = default;
};

/** The call ran and the upstream returned an error. */
struct Failed
{
    std::string reason;

    bool operator==(const Failed &) const = default;
};

/** It is not known whether the call ran; it is never dispatched again. */
struct Unknown
{
    std::string reason;

    bool operator==(const Unknown &) const = default;
};

/** Result of a call. */
using Outcome = std::variant<Completed, NotRun, Failed, Unknown>;

}
