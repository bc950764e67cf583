#pragma once

#include "base/units.h"

#include <optional>
#include <string>
#include <variant>

namespace briarhinge::core
{

/** What a call consumed. */
struct Usage
{
    /** Tokens of the prompt. */
    base::Tokens prompt;
    /** Tokens of the prompt that the engine had cached. */
    base::Tokens cached;
    /** Tokens generated. */
    base::Tokens completion;
    /** Price of the call. */
    base::MicroMoney money;

    bool operator==(const Usage &) const = default;
};

/** The call ran and this is its whole answer. */
struct Completed
{
    std::string answer;
    Usage usage;

    bool operator==(const Completed &) const = default;
};

/** The call was not run: no byte of it left for an upstream, or the upstream's process refused it. */
struct NotRun
{
    std::string reason;
    /** When asking again is worth while; absent when it never is. */
    std::optional<base::Milliseconds> retryAfter;

    bool operator==(const NotRun &) const = default;
};

/** The call ran and the upstream answered with an error. */
struct Failed
{
    std::string reason;

    bool operator==(const Failed &) const = default;
};

/** The call may have run; it is not sent again. */
struct Unknown
{
    std::string reason;

    bool operator==(const Unknown &) const = default;
};

/** How a call ended: exactly one of four. */
using Outcome = std::variant<Completed, NotRun, Failed, Unknown>;

}
