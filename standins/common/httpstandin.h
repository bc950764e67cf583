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

/** @return the decoded query parameters of a request, by name */
std::map<std::string, std::string> parseQuery(const http_request &request);

/**
 * Parses a numeric parameter.
 *
 * @param query query parameters or command line options, by name
 * @param name name of the parameter
 * @param fallback value if the parameter is absent
 * @return the value of the parameter, or the fallback
 */
std::uint64_t parseNumber(const std::map<std::string, std::string> &query, const std::string &name,
                          std::uint64_t fallback);

/** Sends a response with a JSON body. */
void replyJson(const http_request &request, web::http::status_code status, const nlohmann::json &body);

/** Handles a request whose body has been received completely. */
using Handler = std::function<void(const http_request &request, const std::string &body)>;

/**
 * Serves one stand-in until SIGTERM or SIGINT.
 *
 * @param argc as passed to main
 * @param argv as passed to main: --listen IP:PORT, --threads N and the options of the stand-in
 * @param name name of the program, for its messages
 * @param makeHandler creates the request handler from the options
 * @return the exit code
 */
int serve(int argc, char **argv, const std::string &name,
          const std::function<Handler(const std::map<std::string, std::string> &)> &makeHandler);

}
