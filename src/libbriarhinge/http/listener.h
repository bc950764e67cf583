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
#include <boost/asio/steady_timer.hpp>

namespace briarhinge::http
{

/** What all connections of a listener together may use, and what those are told for which there is no room. */
struct ListenerLimits
{
    /** Memory for what they receive and send. */
    base::MemoryBudget memory;
    /** Maximum number of open connections, those that are closing aside. */
    std::size_t maxConnections = 0;
    RefusalFormat refusalFormat = plainRefusal;
};

/** What became of connections for which there was no room. */
struct ListenerCounts
{
    /** Connections that were closed for newer ones. */
    std::size_t givenWay = 0;
    /** Connections that were closed at once, since all others had requests in progress. */
    std::size_t turnedAway = 0;
    /** Failed accepts, mostly for lack of descriptors. */
    std::size_t failedAccepts = 0;

    bool operator==(const ListenerCounts &) const = default;
};

/**
 * Accepts HTTP connections on one address and owns them until they end.
 *
 * A new connection beyond the limit takes the place of another one: of one without a request before one whose request is
 * still arriving, and among these the one that has been waiting longest. Requests in progress are never ended for it.
 */
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

    /** @return number of open connections */
    std::size_t connectionCount() const;

    /** @return what became of connections for which there was no room, since the start */
    const ListenerCounts &counts() const;

private:
    void accept();
    void handleAccepted(boost::asio::ip::tcp::socket socket);
    void handleAcceptError();
    /** Lets the connection give way that does so first. @param minTime time that it must have been in its state */
    bool makeRoom(base::Milliseconds minTime);

    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_acceptTimer;
    std::function<ServerLimits()> m_limits;
    const ListenerLimits m_resources;
    ServerConnection::RequestHandler m_onRequest;
    std::unordered_set<std::shared_ptr<ServerConnection>> m_connections;
    ListenerCounts m_counts;
    bool m_isDraining = false;
};

}
