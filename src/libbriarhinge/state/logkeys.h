#pragma once

#include "base/ids.h"

#include <cstdint>
#include <string>

namespace briarhinge::state
{

/** Place in a log, from 1. */
using LogPosition = base::StrongType<struct LogPositionTag, std::uint64_t>;

/** @param incarnation whose log @return what all its keys begin with */
std::string logPrefix(const base::ProcessId &incarnation);

/** @param incarnation whose log @param position a place in it @return the key; keys sort as positions do */
std::string logKey(const base::ProcessId &incarnation, LogPosition position);

/** @param key a key of a log @return its position; 0 when it has none */
LogPosition positionOf(const std::string &key);

}
