#pragma once

#include "http/serverconnection.h"
#include "wire/address.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <unordered_set>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace briarhinge::http
{

/** Accepts HTTP connections at one address and keeps them until they end. */
class Listener
{
public:
    /**
     * @param context runs the connections
     * @param limits asked for what callers may send
     * @param onRequest gets each request
     */
    Listener(boost::asio::io_context &context, std::function<ServerLimits()> limits,
             ServerConnection::RequestHandler onRequest);

    /** @param address where to listen @return why that can't be, or an empty text */
    std::string listen(const wire::Address &address);

    /** Accepts no more connections; those that wait without a request are closed, others after their answer. */
    void stopAccepting();

    /** Ends every connection at once. */
    void close();

    /** Has the present connections close after their next answer, without closing any that waits for a request. */
    void moveCallersAway();

    /** The same for the present connections and all that come. */
    void askToLeave();

    /** @return connections with a request that is not answered yet */
    std::size_t busy() const;

private:
    void accept();

    boost::asio::ip::tcp::acceptor m_acceptor;
    std::function<ServerLimits()> m_limits;
    ServerConnection::RequestHandler m_onRequest;
    std::unordered_set<std::shared_ptr<ServerConnection>> m_connections;
    bool m_isLeaving = false;
};

}
