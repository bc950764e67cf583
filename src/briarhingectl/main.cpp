#include "commandline.h"
#include "configurationcommands.h"
#include "output.h"
#include "processcommands.h"

namespace
{

using namespace briarhinge::ctl;

/** Service that a command sends its requests to. */
enum class TargetService {
    KeyValue,
    Entry,
};

struct Command
{
    /** Words of the command line that select the command; its arguments follow. */
    std::vector<std::string> words;
    std::size_t minArguments;
    std::size_t maxArguments;
    TargetService target;
    ExitCode (*run)(const CommandLine &);
};

const std::vector<Command> &commands()
{
    static const std::vector<Command> all{
        {{"plan"}, 1, 1, TargetService::KeyValue, plan},
        {{"apply"}, 1, 1, TargetService::KeyValue, apply},
        {{"rollback"}, 1, 1, TargetService::KeyValue, rollback},
        {{"show"}, 0, 1, TargetService::KeyValue, show},
        {{"history"}, 0, 0, TargetService::KeyValue, history},
        {{"audit"}, 0, 0, TargetService::KeyValue, audit},
        {{"status"}, 0, 0, TargetService::Entry, status},
        {{"drain"}, 1, 1, TargetService::Entry, drain},
        {{"programs"}, 0, 0, TargetService::Entry, programs},
        {{"program", "show"}, 1, 1, TargetService::Entry, showProgram},
        {{"program", "end"}, 1, 1, TargetService::Entry, endProgram},
        {{"metrics"}, 0, 0, TargetService::Entry, metrics},
    };
    return all;
}

bool matches(const Command &command, const std::vector<std::string> &words)
{
    return words.size() >= command.words.size()
        && std::equal(command.words.begin(), command.words.end(), words.begin());
}

ExitCode runCommand(const Command &command, const CommandLine &line)
{
    const std::size_t arguments = line.words.size() - command.words.size();
    if (arguments < command.minArguments || arguments > command.maxArguments) {
        return fail("wrong number of arguments; see --help", ExitCode::Usage);
    }
    if (line.keyValue.empty() && command.target == TargetService::KeyValue) {
        return fail("--key-value must be given", ExitCode::Usage);
    }
    if (line.entry.empty() && (command.target == TargetService::Entry || line.shouldWait)) {
        return fail("--entry must be given", ExitCode::Usage);
    }
    return command.run(line);
}

ExitCode run(const CommandLine &line)
{
    for (const Command &command : commands()) {
        if (matches(command, line.words)) {
            return runCommand(command, line);
        }
    }
    return fail("unknown command \"" + line.words.front() + "\"; see --help", ExitCode::Usage);
}

}

int main(int argc, char **argv)
{
    const auto parsed = parseCommandLine(argc, argv);
    if (const auto *help = std::get_if<HelpText>(&parsed)) {
        print(help->text);
        return static_cast<int>(ExitCode::Ok);
    }
    if (const auto *usageError = std::get_if<UsageError>(&parsed)) {
        return static_cast<int>(fail(usageError->reason + "; see --help", ExitCode::Usage));
    }
    return static_cast<int>(run(std::get<CommandLine>(parsed)));
}
