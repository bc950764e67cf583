#include "commandline.h"

#include "config/duration.h"

#include <charconv>
#include <cstdlib>

#include <cxxopts.hpp>

namespace briarhinge::ctl
{

namespace
{

constexpr const char *commandHelp = R"(
Configuration (need --key-value):
  plan FILE            what applying FILE would change
  apply FILE           put FILE in force as a new revision
  rollback REVISION    put an older revision in force again, as a new one
  show [REVISION]      print a declaration; the accepted one by default
  history              every revision
  audit                every change: who, when, what, from which revision to which

Processes and programs (need --entry):
  status               every process: its revision, whether it drains, its requests in progress
  drain NAME           let a process take no new work
  programs             the programs that the entries own
  program show ID      one program
  program end ID       end a program
  metrics              the metrics of the entry

Exit codes: 0 done, 1 failed, 2 wrong command line, 3 faults in the declaration, 4 another operator was first,
5 may have been applied, 6 not in force everywhere within the wait limit.
)";

std::string environmentOr(const char *name, const std::string &fallback)
{
    const char *value = std::getenv(name);
    return value == nullptr ? fallback : value;
}

cxxopts::Options makeOptions()
{
    cxxopts::Options options("briarhingectl", "Looks at and changes a running briarhinge.");
    options.positional_help("COMMAND [ARGUMENT...]");
    auto add = options.add_options();
    const auto text = [] {
        return cxxopts::value<std::string>();
    };
    add("entry", "address of an entry, as http://10.0.0.7:8080 [BRIARHINGE_ENTRY]",
        text()->default_value(environmentOr("BRIARHINGE_ENTRY", "")));
    add("key-value", "address of the platform's key-value service [BRIARHINGE_KEY_VALUE]",
        text()->default_value(environmentOr("BRIARHINGE_KEY_VALUE", "")));
    add("output", "table or json", text()->default_value("table"));
    add("who", "name in the audit trail [USER]", text()->default_value(environmentOr("USER", "unknown")));
    add("message", "why, for the audit trail", text()->default_value(""));
    add("expect", "apply and rollback: the revision that must be accepted still; default: the present one", text());
    add("nonce", "apply and rollback: repeats an unresolved change, which then takes effect at most once",
        text()->default_value(""));
    add("wait", "apply and rollback: wait until every process has the revision in force (needs --entry)");
    add("wait-limit", "longest wait, as 30s", text()->default_value("30s"));
    add("help", "print this text");
    add("version", "print the version");
    add("command", "the command", cxxopts::value<std::vector<std::string>>());
    options.parse_positional("command");
    return options;
}

std::optional<std::uint64_t> parseNumber(const std::string &text)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

std::variant<CommandLine, HelpText, UsageError> makeCommandLine(const cxxopts::ParseResult &parsed)
{
    CommandLine line;
    line.words = parsed["command"].as<std::vector<std::string>>();
    line.entry = parsed["entry"].as<std::string>();
    line.keyValue = parsed["key-value"].as<std::string>();
    const std::string output = parsed["output"].as<std::string>();
    if (output != "table" && output != "json") {
        return UsageError{"--output must be table or json, is \"" + output + "\""};
    }
    line.isJson = output == "json";
    line.who = parsed["who"].as<std::string>();
    line.message = parsed["message"].as<std::string>();
    line.nonce = parsed["nonce"].as<std::string>();
    line.shouldWait = parsed.count("wait") > 0;
    if (parsed.count("expect") > 0) {
        const std::string text = parsed["expect"].as<std::string>();
        line.expected = parseNumber(text);
        if (!line.expected) {
            return UsageError{"--expect must be a revision such as 3, is \"" + text + "\""};
        }
    }
    if (!line.nonce.empty() && !line.expected) {
        // Without it the change would be based on the current revision and could be made a second time.
        return UsageError{"--nonce must come with the --expect of the change that it repeats"};
    }
    const std::string limit = parsed["wait-limit"].as<std::string>();
    const auto duration = config::parseDuration(limit);
    if (!duration) {
        return UsageError{"--wait-limit must be a duration such as \"30s\", is \"" + limit + "\""};
    }
    line.waitTimeout = *duration;
    return line;
}

}

std::variant<CommandLine, HelpText, UsageError> parseCommandLine(int argc, char **argv)
{
    cxxopts::Options options = makeOptions();
    try {
        const cxxopts::ParseResult parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0) {
            return HelpText{options.help() + commandHelp};
        }
        if (parsed.count("version") > 0) {
            return HelpText{"briarhingectl " BRIARHINGE_VERSION "\n"};
        }
        if (parsed.count("command") == 0) {
            return UsageError{"a command must be given"};
        }
        return makeCommandLine(parsed);
    } catch (const cxxopts::exceptions::exception &error) {
        return UsageError{error.what()};
    }
}

}
