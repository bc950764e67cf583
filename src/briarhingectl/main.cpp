#include "commandline.h"
#include "configurationcommands.h"
#include "output.h"
#include "processcommands.h"

namespace
{

using namespace briarhinge::ctl;

/** Service that a command sends its requests to. */
enum class Asks {
    KeyValue,
    Entry,
};

struct Command
{
    /** Words of the command line that select the command; its arguments follow. */
    std::vector<std::string> words;
    std::size_t leastArguments;
    std::size_t mostArguments;
    Asks asks;
    ExitCode (*run)(const CommandLine &);
};

const std::vector<Command> &commands()
{
    static const std::vector<Command> all{
        {{"plan"}, 1, 1, Asks::KeyValue, plan},
        {{"apply"}, 1, 1, Asks::KeyValue, apply},
        {{"rollback"}, 1, 1, Asks::KeyValue, rollback},
        {{"show"}, 0, 1, Asks::KeyValue, show},
        {{"history"}, 0, 0, Asks::KeyValue, history},
        {{"audit"}, 0, 0, Asks::KeyValue, audit},
        {{"status"}, 0, 0, Asks::Entry, status},
        {{"drain"}, 1, 1, Asks::Entry, drain},
        {{"programs"}, 0, 0, Asks::Entry, programs},
        {{"program", "show"}, 1, 1, Asks::Entry, showProgram},
        {{"program", "end"}, 1, 1, Asks::Entry, endProgram},
        {{"metrics"}, 0, 0, Asks::Entry, metrics},
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
    if (arguments < command.leastArguments || arguments > command.mostArguments) {
        return fail("wrong number of arguments; see --help", ExitCode::Usage);
    }
    if (line.keyValue.empty() && command.asks == Asks::KeyValue) {
        return fail("--key-value must be given", ExitCode::Usage);
    }
    if (line.entry.empty() && (command.asks == Asks::Entry || line.waits)) {
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
    const auto read = readCommandLine(argc, argv);
    if (const auto *help = std::get_if<HelpText>(&read)) {
        print(help->text);
        return static_cast<int>(ExitCode::Ok);
    }
    if (const auto *wrong = std::get_if<UsageError>(&read)) {
        return static_cast<int>(fail(wrong->reason + "; see --help", ExitCode::Usage));
    }
    return static_cast<int>(run(std::get<CommandLine>(read)));
}
