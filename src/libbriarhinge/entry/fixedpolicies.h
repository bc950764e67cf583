#pragma once

#include "core/program.h"

#include <optional>

namespace briarhinge::entry
{

/** Uniform limits for all kinds of programs, used until a declaration is in force. */
class FixedPolicies
{
public:
    /** @return the limits, which do not depend on the kind */
    std::optional<core::KindPolicy> policyForKind(const base::KindName &) const
    {
        constexpr std::uint64_t maxTokens = 10'000'000;
        constexpr std::uint64_t maxMoney = 1'000'000'000;
        constexpr std::uint32_t maxCalls = 160;
        core::KindPolicy policy;
        policy.budget = {base::Tokens(maxTokens), base::MicroMoney(maxMoney), maxCalls};
        policy.wallTime = std::chrono::hours(24);
        return policy;
    }
};

}
