#include "entrynode.h"
#include "logging/eventlog.h"
#include "platform/nodesettings.h"
#include "storenode.h"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <string>

#include <cxxopts.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

namespace
{

using namespace briarhinge;
using boost::system::error_code;

constexpr int exitOk = 0;
constexpr int exitFailed = 1;
constexpr int exitBadSettings = 2;
/** Interval at which buffered log lines are written. */
constexpr base::Milliseconds logFlushInterval{200};
constexpr double maxSecondTries = 100;
constexpr const char *settingsVariable = "BRIARHINGE_NODE_FILE";

/** Flushes the log periodically. */
class LogFlusher
{
public:
    LogFlusher(boost::asio::io_context &context, logging::EventLog &log)
        : m_timer(context)
        , m_log(log)
    {
        flush();
    }

private:
    void flush()
    {
        m_log.flush();
        m_timer.expires_after(logFlushInterval);
        m_timer.async_wait([this](const error_code &error) {
            if (!error) {
                flush();
            }
        });
    }

    boost::asio::steady_timer m_timer;
    logging::EventLog &m_log;
};

/** Stops the node on SIGTERM and SIGINT, reloads the settings on SIGHUP. */
template <class Node>
class SignalHandler
{
public:
    SignalHandler(boost::asio::io_context &context, Node &node, logging::EventLog &log, std::string settingsPath)
        : m_context(context)
        , m_node(node)
        , m_log(log)
        , m_settingsPath(std::move(settingsPath))
        , m_signals(context, SIGTERM, SIGINT, SIGHUP)
    {
        wait();
    }

private:
    void wait()
    {
        m_signals.async_wait([this](const error_code &error, int signal) {
            if (error) {
                return;
            }
            if (signal == SIGHUP) {
                reload();
            } else {
                m_log.write(logging::events::processStopping, {{"signal", signal}});
                m_node.stop([this] {
                    m_log.write(logging::events::processStopped, {});
                    m_context.stop();
                });
            }
            wait();
        });
    }

    void reload()
    {
        const auto read = platform::readNodeSettings(m_settingsPath);
        if (const auto *errors = std::get_if<platform::NodeSettingsErrors>(&read)) {
            for (const std::string &message : errors->messages) {
                m_log.write(logging::events::settingsRefused, {{"reason", message}, {"kept", "the old ones"}});
            }
            return;
        }
        m_node.reload(std::get<platform::NodeSettings>(read));
        m_log.write(logging::events::settingsReloaded, {{"file", m_settingsPath}});
    }

    boost::asio::io_context &m_context;
    Node &m_node;
    logging::EventLog &m_log;
    const std::string m_settingsPath;
    boost::asio::signal_set m_signals;
};

/**
 * Delays or admits SIGHUP, which would end a process that has no handler for it yet.
 *
 * @param isBlocked whether the signal waits
 */
void setReloadSignalBlocked(bool isBlocked)
{
    sigset_t reload;
    sigemptyset(&reload);
    sigaddset(&reload, SIGHUP);
    pthread_sigmask(isBlocked ? SIG_BLOCK : SIG_UNBLOCK, &reload, nullptr);
}

template <class Node>
int run(const platform::NodeSettings &settings, const std::string &settingsPath, const std::string &role)
{
    boost::asio::io_context context(1);
    logging::EventLog log(settings.name, logging::FlushPolicy::Buffered);
    Node node(context, settings, log);
    const std::string error = node.start();
    if (!error.empty()) {
        log.write(logging::events::settingsRefused, {{"reason", error}});
        return exitFailed;
    }
    log.write(logging::events::processStarted, {{"role", role}, {"zone", settings.zone.value()}});
    const LogFlusher flusher(context, log);
    const SignalHandler<Node> signals(context, node, log, settingsPath);
    setReloadSignalBlocked(false);
    context.run();
    return exitOk;
}

int fail(const std::string &message)
{
    std::cerr << "briarhinge-node: " << message << '\n';
    return exitBadSettings;
}

int runRole(const std::string &role, const std::string &path, double secondTryShare)
{
    auto read = platform::readNodeSettings(path);
    if (const auto *errors = std::get_if<platform::NodeSettingsErrors>(&read)) {
        for (const std::string &message : errors->messages) {
            fail(message);
        }
        return exitBadSettings;
    }
    auto &settings = std::get<platform::NodeSettings>(read);
    settings.secondTryShare = secondTryShare;
    if (role == "entry") {
        return run<node::EntryNode>(settings, path, role);
    }
    if (role == "turn-store") {
        return run<node::StoreNode>(settings, path, role);
    }
    return fail("the role must be entry or turn-store, but is \"" + role + "\"");
}

}

int main(int argc, char **argv)
{
    setReloadSignalBlocked(true);
    base::returnFreedMemory();
    const char *variable = std::getenv(settingsVariable);
    cxxopts::Options options("briarhinge-node", "A process of briarhinge on the users' platform");
    options.add_options()("role", "entry or turn-store", cxxopts::value<std::string>())(
        "settings",
        std::string("settings file; the default is taken from the environment variable ") + settingsVariable,
        cxxopts::value<std::string>()->default_value(variable == nullptr ? "" : variable))(
        "second-tries", "most second tries, in percent of the requests that may be repeated",
        cxxopts::value<double>()->default_value("0"))("help", "print this help");
    options.parse_positional({"role"});
    options.positional_help("ROLE");
    try {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0) {
            std::cout << options.help();
            return exitOk;
        }
        if (parsed.count("role") == 0) {
            return fail("missing role; see --help");
        }
        const double secondTries = parsed["second-tries"].as<double>();
        if (!(secondTries >= 0 && secondTries <= maxSecondTries)) {
            return fail("--second-tries must be from 0 to 100");
        }
        return runRole(parsed["role"].as<std::string>(), parsed["settings"].as<std::string>(),
                       secondTries / maxSecondTries);
    } catch (const cxxopts::exceptions::exception &error) {
        return fail(error.what());
    }
}
