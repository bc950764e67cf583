#pragma once

#include "wire/address.h"

#include <iostream>
#include <optional>
#include <string>

#include <cxxopts.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

namespace standins::platform
{

constexpr int exitOk = 0;
constexpr int exitBadOptions = 2;

/**
 * Parses the command line of a stand-in program, which must contain --listen.
 *
 * @param options the options of the program
 * @param argc as passed to main
 * @param argv as passed to main
 * @return the parsed options, or nothing after an error message
 */
inline std::optional<cxxopts::ParseResult> parseOptions(cxxopts::Options &options, int argc, char **argv)
{
    options.add_options()("listen", "IP:PORT to listen on", cxxopts::value<std::string>());
    try {
        auto parsed = options.parse(argc, argv);
        if (parsed.count("listen") > 0 && briarhinge::wire::parseAddress(parsed["listen"].as<std::string>())) {
            return parsed;
        }
        std::cerr << "--listen must be IP:PORT\n";
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << error.what() << '\n';
    }
    return std::nullopt;
}

/** Runs a stand-in until SIGTERM or SIGINT. @param context runs the stand-in */
inline void runUntilStopped(boost::asio::io_context &context)
{
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](const boost::system::error_code &, int) {
        context.stop();
    });
    context.run();
}

}
