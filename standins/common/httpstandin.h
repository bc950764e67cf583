#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <string>

#include <cpprest/http_listener.h>
#include <nlohmann/json.hpp>

namespace standins::common
{

using web::http::http_request;
using web::http::http_response;
using web::http::status_codes;

/** Query parameters of a request, decoded. */
std::map<std::string, std::string> queryOf(const http_request &request);

/** @return the number of a parameter, or the fallback */
std::uint64_t numberOf(const std::map<std::string, std::string> &query, const std::string &name,
                       std::uint64_t fallback);

/** Replies with JSON. */
void replyJson(const http_request &request, web::http::status_code status, const nlohmann::json &body);

/** Answers a request whose body has arrived in full. */
using Handler = std::function<void(const http_request &request, const std::string &body)>;

/**
 * Serves one stand-in until SIGTERM or SIGINT.
 *
 * @param argc @param argv command line; --listen IP:PORT and --threads N, the rest is the stand-in's own
 * @param name name of the program
 * @param makeHandler given the options, makes what answers the requests
 * @return the exit code
 */
int serve(int argc, char **argv, const std::string &name,
          const std::function<Handler(const std::map<std::string, std::string> &)> &makeHandler);

}
