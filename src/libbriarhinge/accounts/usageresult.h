#pragma once

#include "accounts/account.h"
#include "accounts/usagestock.h"
#include "base/ids.h"
#include "base/units.h"

#include <cstdint>
#include <string>
#include <variant>

namespace briarhinge::accounts
{

/** A request of a client account that has a quota. */
struct UsageNeed
{
    const Account &account;
    /** Version of the configuration that declares the cap. */
    std::uint64_t version = 0;
    /** Empty when the request does not belong to a program. */
    base::ProgramId program;
    /** Whether the request may be the first one of the program. */
    bool mayBeginProgram = false;
};

/** The request is within the cap. */
struct UsageAllowed
{
    UsagePermit permit;
    /** Whether the request begins a program, the further requests of which count as promised. */
    bool beginsProgram = false;
    /**
     * Part of its cap that the account has used lately, as a multiple of the mean part of all accounts; only known for a
     * request that may begin a program.
     */
    double relativeUse = 1;
};

/** The request is beyond the cap. */
struct UsageExceeded
{
    /** Time after which there will be a permit. */
    base::Milliseconds delay{0};
    /** Whether there would be one for a request of a program under way. */
    bool isStart = false;
};

/** No keeper of the cap answers. */
struct UsageUnknown
{
    std::string reason;
};

using UsageResult = std::variant<UsageAllowed, UsageExceeded, UsageUnknown>;

}
