#pragma once

#include "base/ids.h"

#include <cstdint>
#include <string>

namespace briarhinge::state
{

/** Position in a log, starting at 1. */
using LogPosition = base::StrongType<struct LogPositionTag, std::uint64_t>;

/**
 * @param incarnation the owner of the log
 * @return the common prefix of its keys
 */
std::string logPrefix(const base::ProcessId &incarnation);

/**
 * @param incarnation the owner of the log
 * @param position the position in the log
 * @return the key of the position; the lexicographic order of keys is the order of positions
 */
std::string logKey(const base::ProcessId &incarnation, LogPosition position);

/**
 * @param key a key of a log
 * @return its position, or 0 if the key does not end with one
 */
LogPosition parseLogPosition(const std::string &key);

}
