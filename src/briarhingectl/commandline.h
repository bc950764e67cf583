#pragma once

#include "base/units.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace briarhinge::ctl
{

/** What the command line asks for. */
struct CommandLine
{
    /** The command and its arguments. */
    std::vector<std::string> words;
    /** Base address of an entry; empty when not given. */
    std::string entry;
    /** Base address of the platform's key-value service; empty when not given. */
    std::string keyValue;
    bool isJson = false;
    std::string who;
    std::string message;
    std::optional<std::uint64_t> expected;
    std::string nonce;
    bool waits = false;
    base::Milliseconds waitLimit{0};
};

/** A text to print instead of running a command. */
struct HelpText
{
    std::string text;
};

/** Why the command line is refused. */
struct UsageError
{
    std::string reason;
};

/** @param argc as given to main @param argv as given to main @return what is asked for */
std::variant<CommandLine, HelpText, UsageError> readCommandLine(int argc, char **argv);

}
