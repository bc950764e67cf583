#include "platform/platformstore.h"
#include "platform/standinprocess.h"

using namespace standins::platform;

int main(int argc, char **argv)
{
    cxxopts::Options options("standin-platformstore", "Stand-in for the store of the users' platform");
    const auto parsed = parseOptions(options, argc, argv);
    if (!parsed) {
        return exitBadOptions;
    }
    boost::asio::io_context context(1);
    const PlatformStore store(context, *briarhinge::wire::parseAddress((*parsed)["listen"].as<std::string>()));
    runUntilStopped(context);
    return exitOk;
}
