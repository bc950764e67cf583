#include "common/httpstandin.h"

#include <csignal>
#include <iostream>

#include <pplx/threadpool.h>

namespace standins::common
{

namespace
{

constexpr int exitUsage = 2;

/** Parses "--name value" pairs of the command line. */
std::map<std::string, std::string> readOptions(int argc, char **argv)
{
    std::map<std::string, std::string> options{{"threads", "8"}};
    for (int i = 1; i + 1 < argc; i += 2) {
        options[std::string(argv[i]).substr(2)] = argv[i + 1];
    }
    return options;
}

/** Reads the body without blocking an HTTP thread, since that thread may be needed to receive the body. */
void handleBody(http_request request, const Handler &handler)
{
    request.extract_vector().then([request, handler](const pplx::task<std::vector<unsigned char>> &read) {
        try {
            const std::vector<unsigned char> bytes = read.get();
            handler(request, {bytes.begin(), bytes.end()});
        } catch (const std::exception &error) {
            request.reply(status_codes::InternalError, error.what());
        }
    });
}

}

std::map<std::string, std::string> parseQuery(const http_request &request)
{
    std::map<std::string, std::string> query;
    for (const auto &[name, value] : web::uri::split_query(request.relative_uri().query())) {
        query[name] = web::uri::decode(value);
    }
    return query;
}

std::uint64_t parseNumber(const std::map<std::string, std::string> &query, const std::string &name,
                          std::uint64_t fallback)
{
    const auto found = query.find(name);
    return found == query.end() ? fallback : std::stoull(found->second);
}

void replyJson(const http_request &request, web::http::status_code status, const nlohmann::json &body)
{
    request.reply(status, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace), "application/json");
}

int serve(int argc, char **argv, const std::string &name,
          const std::function<Handler(const std::map<std::string, std::string> &)> &makeHandler)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    const auto options = readOptions(argc, argv);
    if (!options.contains("listen")) {
        std::cerr << name << ": --listen IP:PORT must be given\n";
        return exitUsage;
    }
    crossplat::threadpool::initialize_with_threads(std::stoul(options.at("threads")));
    web::http::experimental::listener::http_listener listener("http://" + options.at("listen"));
    listener.support([handler = makeHandler(options)](const http_request &request) {
        handleBody(request, handler);
    });
    try {
        listener.open().get();
    } catch (const std::exception &error) {
        std::cerr << name << ": can't listen at " << options.at("listen") << ": " << error.what() << '\n';
        return 1;
    }
    std::cout << name << " listens at " << options.at("listen") << std::endl;
    int signal = 0;
    sigwait(&signals, &signal);
    // The process has no state that needs an orderly shutdown.
    std::_Exit(0);
}

}
