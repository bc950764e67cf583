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

/** Open connections to runners, kept for the next request. One thread. */
class RunnerPool
{
public:
    /** Gets a connection, or why there is none; nothing was sent. */
    using ConnectionHandler = std::function<void(std::variant<std::shared_ptr<http::ClientConnection>, std::string>)>;

    /** @param context runs the connections */
    explicit RunnerPool(boost::asio::io_context &context);

    /**
     * Takes a kept connection, or opens one.
     *
     * @param id the runner
     * @param address where it listens
     * @param onReady called once, perhaps at once
     */
    void take(const dispatch::RunnerId &id, const wire::Address &address, ConnectionHandler onReady);

    /**
     * Keeps a connection for the next request.
     *
     * @param id the runner
     * @param connection the connection
     * @param keepFor how long the runner keeps it open
     */
    void keep(const dispatch::RunnerId &id, std::shared_ptr<http::ClientConnection> connection,
              base::Milliseconds keepFor);

    /** Closes the kept connections to a runner. @param id the runner */
    void drop(const dispatch::RunnerId &id);

private:
    struct Kept
    {
        std::shared_ptr<http::ClientConnection> connection;
        std::chrono::steady_clock::time_point until;
    };

    boost::asio::io_context &m_context;
    std::map<dispatch::RunnerId, std::vector<Kept>> m_kept;
};

}
