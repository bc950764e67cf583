#pragma once

#include "base/units.h"
#include "dispatch/runner.h"
#include "http/clientconnection.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include <boost/asio/io_context.hpp>

namespace briarhinge::forwarding
{

/** Pool of idle connections to runners. Must be used on one thread. */
class RunnerConnectionPool
{
public:
    /** Receives a connection, or an error message if connecting failed; nothing has been sent in that case. */
    using ConnectionHandler = std::function<void(std::variant<std::shared_ptr<http::ClientConnection>, std::string>)>;

    /** @param context runs the connections */
    explicit RunnerConnectionPool(boost::asio::io_context &context);

    /**
     * Provides an idle connection to a runner, or opens a new one.
     *
     * @param id the runner
     * @param address address of the runner
     * @param onReady called exactly once, possibly before this function returns
     */
    void acquire(const dispatch::RunnerId &id, const wire::Address &address, ConnectionHandler onReady);

    /**
     * Returns a connection to the pool for the next request, or closes it when it is not reusable.
     *
     * @param id the runner
     * @param connection the connection
     * @param keepAliveTimeout how long the runner keeps an idle connection open
     */
    void release(const dispatch::RunnerId &id, std::shared_ptr<http::ClientConnection> connection,
                 base::Milliseconds keepAliveTimeout);

    /**
     * Closes all idle connections to a runner.
     *
     * @param id the runner
     */
    void closeIdle(const dispatch::RunnerId &id);

private:
    struct IdleConnection
    {
        std::shared_ptr<http::ClientConnection> connection;
        std::chrono::steady_clock::time_point expiresAt;
    };

    boost::asio::io_context &m_context;
    std::map<dispatch::RunnerId, std::vector<IdleConnection>> m_idle;
};

}
