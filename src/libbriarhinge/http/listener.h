#pragma once

#include "base/memorybudget.h"
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

/** What all connections of a listener together may use, and what those are told for which there is no room. */
struct ListenerLimits
{
    /** Memory for what they receive and send. */
    base::MemoryBudget memory;
    RefusalFormat refusalFormat = plainRefusal;
};

/** Accepts HTTP connections on one address and owns them until they end. */
class Listener
{
public:
    /**
     * @param context runs the connections
     * @param limits returns the current limits for requests
     * @param resources the limits for all connections together
     * @param onRequest called for each request
     */
    Listener(boost::asio::io_context &context, std::function<ServerLimits()> limits, ListenerLimits resources,
             ServerConnection::RequestHandler onRequest);

    /**
     * Starts listening.
     *
     * @param address address to listen on
     * @return an error message, empty on success
     */
    std::string listen(const wire::Address &address);

    /** Stops accepting connections. Idle connections are closed at once, the others after their current response. */
    void stopAccepting();

    /** Closes all connections at once. */
    void close();

    /** Lets the open connections close after their next response. Idle connections stay open until then. */
    void closeAfterResponses();

    /** Like closeAfterResponses(), but also for all connections that are accepted later. */
    void drain();

    /** @return number of connections with a request that has not been answered completely */
    std::size_t busyConnections() const;

private:
    void accept();
    void handleAccepted(boost::asio::ip::tcp::socket socket);

    boost::asio::ip::tcp::acceptor m_acceptor;
    std::function<ServerLimits()> m_limits;
    const ListenerLimits m_resources;
    ServerConnection::RequestHandler m_onRequest;
    std::unordered_set<std::shared_ptr<ServerConnection>> m_connections;
    bool m_isDraining = false;
};

}
