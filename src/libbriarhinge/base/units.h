#pragma once

#include "base/strongtype.h"

#include <chrono>
#include <cstdint>

namespace briarhinge::base
{

/** A number of model tokens. */
using Tokens = StrongType<struct TokensTag, std::uint64_t>;
/** An amount of money, in millionths of the currency of the deployment. */
using MicroMoney = StrongType<struct MicroMoneyTag, std::uint64_t>;
/** A duration in milliseconds. */
using Milliseconds = std::chrono::milliseconds;
/** A wall-clock time with millisecond resolution. */
using Timestamp = std::chrono::sys_time<std::chrono::milliseconds>;

}
