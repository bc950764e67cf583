#pragma once

#include "base/units.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace briarhinge::ctl
{

/** The parsed command line. */
struct CommandLine
{
    /** The command and its arguments. */
    std::vector<std::string> words;
    /** Base address of an entry; empty when not given. */
    std::string entry;
    /** Base address of the platform's key-value service; empty when not given. */
    std::string keyValue;
    bool isJson = false;
    /** Name of the operator in the audit trail. */
    std::string who;
    /** Reason of the change in the audit trail; may be empty. */
    std::string message;
    /** Revision that must still be the accepted one for a change to be made. */
    std::optional<std::uint64_t> expected;
    /** Identifies a change, so that repeating it takes effect at most once; empty for a new random one. */
    std::string nonce;
    /** Whether to wait until every process has the change in force. */
    bool shouldWait = false;
    base::Milliseconds waitTimeout{0};
};

/** Text to print instead of running a command: the help or the version. */
struct HelpText
{
    std::string text;
};

/** The command line is invalid. */
struct UsageError
{
    std::string reason;
};

/**
 * Parses the command line and applies the defaults from the environment.
 *
 * @param argc as passed to main
 * @param argv as passed to main
 * @return the parsed command line, a text to print, or why the command line is invalid
 */
std::variant<CommandLine, HelpText, UsageError> parseCommandLine(int argc, char **argv);

}
