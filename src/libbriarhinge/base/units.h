#pragma once

#include "base/strongtype.h"

#include <chrono>
#include <cstdint>

namespace briarhinge::base
{

/** A count of model tokens. */
using Tokens = StrongType<struct TokensTag, std::uint64_t>;
/** Money in millionths of the deployment's currency. */
using MicroMoney = StrongType<struct MicroMoneyTag, std::uint64_t>;
/** A span of time in milliseconds. */
using Milliseconds = std::chrono::milliseconds;
/** Wall-clock time in milliseconds. */
using Timestamp = std::chrono::sys_time<std::chrono::milliseconds>;

}
