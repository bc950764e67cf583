#include "state/logkeys.h"

#include <charconv>

#include <fmt/format.h>

namespace briarhinge::state
{

std::string logPrefix(const base::ProcessId &incarnation)
{
    return fmt::format("log/{}/", incarnation.value());
}

std::string logKey(const base::ProcessId &incarnation, LogPosition position)
{
    return fmt::format("{}{:012}", logPrefix(incarnation), position.value());
}

LogPosition parseLogPosition(const std::string &key)
{
    const std::string digits = key.substr(key.rfind('/') + 1);
    std::uint64_t position = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), position);
    return LogPosition(position);
}

}
