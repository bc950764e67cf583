#include "platform/platformrunner.h"
#include "platform/standinprocess.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>

using namespace standins::platform;

int main(int argc, char **argv)
{
    cxxopts::Options options("standin-platformrunner", "Stand-in for a runner of the users' platform");
    options.add_options()("id", "id of the runner", cxxopts::value<std::string>())(
        "requests", "file to which a line is appended for each request that begins to run",
        cxxopts::value<std::string>())(
        "reset-file", "while this file exists, requests run and their connections are closed without an answer",
        cxxopts::value<std::string>()->default_value(""))("leaving-file",
                                                          "while this file exists, answers say that the runner leaves",
                                                          cxxopts::value<std::string>()->default_value(""))(
        "crash-text", "a request whose path or body contains this ends the process when it begins to run",
        cxxopts::value<std::string>()->default_value("crash-runner"));
    const auto parsed = parseOptions(options, argc, argv);
    if (!parsed || parsed->count("id") == 0 || parsed->count("requests") == 0) {
        return exitBadOptions;
    }
    boost::asio::io_context context(1);
    std::ofstream requests((*parsed)["requests"].as<std::string>(), std::ios::app);
    PlatformRunner runner(context, *briarhinge::wire::parseAddress((*parsed)["listen"].as<std::string>()),
                          (*parsed)["id"].as<std::string>());
    runner.setExecutionHandler([&requests](const ReceivedRequest &request) {
        requests << request.method << ' ' << request.target << ' ' << request.headers.find("X-Request-Id").value_or("")
                 << std::endl;
    });
    runner.setResetCondition([file = (*parsed)["reset-file"].as<std::string>()] {
        return !file.empty() && std::filesystem::exists(file);
    });
    runner.setLeavingCondition([file = (*parsed)["leaving-file"].as<std::string>()] {
        return !file.empty() && std::filesystem::exists(file);
    });
    runner.setCrashText((*parsed)["crash-text"].as<std::string>(), [] {
        std::_Exit(EXIT_FAILURE);
    });
    runUntilStopped(context);
    return exitOk;
}
