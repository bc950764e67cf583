#pragma once

#include <string>
#include <variant>

namespace briarhinge::ctl
{

/** What an entry answered. */
struct EntryAnswer
{
    unsigned status = 0;
    std::string body;
};

/** Why an entry could not be asked. */
struct EntryUnreachable
{
    std::string reason;
};

/** How an entry is asked. */
enum class Method {
    Get,
    Post,
    Delete,
};

/** @param entry its base address @param method how to ask @param path what for @return its answer */
std::variant<EntryAnswer, EntryUnreachable> askEntry(const std::string &entry, Method method, const std::string &path);

}
