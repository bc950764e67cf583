#include <iostream>
#include <optional>
#include <string>
#include <vector>

#include <cpprest/http_client.h>
#include <cxxopts.hpp>

namespace
{

constexpr int exitOk = 0;
constexpr int exitFailed = 1;
constexpr int exitUsage = 2;

using web::http::methods;

/** Asks an entry and prints its answer. */
int ask(const std::string &entry, const web::http::method &method, const std::string &path)
{
    try {
        web::http::client::http_client client(entry);
        const auto response = client.request(method, path).get();
        std::cout << response.extract_utf8string(true).get() << '\n';
        return response.status_code() == web::http::status_codes::OK ? exitOk : exitFailed;
    } catch (const std::exception &error) {
        std::cerr << "briarhingectl: " << entry << ": " << error.what() << '\n';
        return exitFailed;
    }
}

int runCommand(const std::string &entry, const std::vector<std::string> &words)
{
    if (words.size() == 3 && words[0] == "program" && words[1] == "show") {
        return ask(entry, methods::GET, "/v1/programs/" + words[2]);
    }
    if (words.size() == 3 && words[0] == "program" && words[1] == "end") {
        return ask(entry, methods::DEL, "/v1/programs/" + words[2]);
    }
    if (words.size() == 1 && words[0] == "metrics") {
        return ask(entry, methods::GET, "/metrics");
    }
    std::cerr << "briarhingectl: unknown command; see --help\n";
    return exitUsage;
}

}

int main(int argc, char **argv)
{
    cxxopts::Options options("briarhingectl", "Looks at and changes a running briarhinge.");
    options.positional_help("program show ID | program end ID | metrics");
    options.add_options()("entry", "address of an entry", cxxopts::value<std::string>())("help", "print this text")(
        "version", "print the version")("command", "the command", cxxopts::value<std::vector<std::string>>());
    options.parse_positional("command");
    try {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0) {
            std::cout << options.help();
            return exitOk;
        }
        if (parsed.count("version") > 0) {
            std::cout << "briarhingectl " BRIARHINGE_VERSION "\n";
            return exitOk;
        }
        if (parsed.count("entry") == 0 || parsed.count("command") == 0) {
            std::cerr << "briarhingectl: --entry and a command must be given; see --help\n";
            return exitUsage;
        }
        return runCommand(parsed["entry"].as<std::string>(), parsed["command"].as<std::vector<std::string>>());
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << "briarhingectl: " << error.what() << '\n';
        return exitUsage;
    }
}
