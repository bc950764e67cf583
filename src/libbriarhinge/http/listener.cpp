#include "http/listener.h"

#include <utility>

#include <boost/asio/ip/address.hpp>

namespace briarhinge::http
{

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace
{

/** Time after a failed accept until the next one; a descriptor is free once some connection has ended. */
constexpr base::Milliseconds acceptRetryDelay{50};
/**
 * Time that a connection without a request is kept when descriptors run out: accept() fails for lack of them also while
 * no caller waits.
 */
constexpr base::Milliseconds minRestTime{1000};

}

Listener::Listener(asio::io_context &context, std::function<ServerLimits()> limits, ListenerLimits resources,
                   ServerConnection::RequestHandler onRequest)
    : m_acceptor(context)
    , m_acceptTimer(context)
    , m_limits(std::move(limits))
    , m_resources(resources)
    , m_onRequest(std::move(onRequest))
{
}

std::string Listener::listen(const wire::Address &address)
{
    error_code error;
    const tcp::endpoint endpoint(asio::ip::make_address(address.host, error), address.port);
    if (!error) {
        m_acceptor.open(endpoint.protocol(), error);
    }
    if (!error) {
        m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
        m_acceptor.bind(endpoint, error);
    }
    if (!error) {
        m_acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return "cannot listen on " + wire::toString(address) + ": " + error.message();
    }
    accept();
    return {};
}

void Listener::accept()
{
    m_acceptor.async_accept([this](error_code error, tcp::socket socket) {
        if (error == asio::error::operation_aborted) {
            return;
        }
        if (error && error != asio::error::connection_aborted) {
            handleAcceptError();
            return;
        }
        if (!error) {
            handleAccepted(std::move(socket));
        }
        accept();
    });
}

void Listener::handleAccepted(tcp::socket socket)
{
    if (m_connections.size() >= m_resources.maxConnections && !makeRoom(base::Milliseconds(0))) {
        // Closed without being read, which lets the caller try another entry.
        ++m_counts.turnedAway;
        return;
    }
    const auto connection =
        std::make_shared<ServerConnection>(std::move(socket), m_limits, m_resources.memory, m_resources.refusalFormat,
                                           m_onRequest, [this](const auto &ended) {
                                               m_connections.erase(ended);
                                           });
    m_connections.insert(connection);
    if (m_isDraining) {
        connection->closeAfterResponse();
    }
    connection->start();
}

void Listener::handleAcceptError()
{
    ++m_counts.failedAccepts;
    makeRoom(minRestTime);
    m_acceptTimer.expires_after(acceptRetryDelay);
    m_acceptTimer.async_wait([this](error_code error) {
        if (!error && m_acceptor.is_open()) {
            accept();
        }
    });
}

bool Listener::makeRoom(base::Milliseconds minTime)
{
    const auto latest = std::chrono::steady_clock::now() - minTime;
    std::shared_ptr<ServerConnection> chosen;
    for (const auto &connection : m_connections) {
        if (connection->stateSince() > latest) {
            continue;
        }
        if (!chosen
            || std::pair(connection->state(), connection->stateSince())
                < std::pair(chosen->state(), chosen->stateSince())) {
            chosen = connection;
        }
    }
    if (!chosen || chosen->state() == ConnectionState::Busy) {
        return false;
    }
    ++m_counts.givenWay;
    chosen->giveWay();
    return true;
}

void Listener::stopAccepting()
{
    error_code ignored;
    m_acceptor.close(ignored);
    m_acceptTimer.cancel();
    const auto connections = m_connections;
    for (const auto &connection : connections) {
        connection->closeWhenIdle();
    }
}

void Listener::close()
{
    error_code ignored;
    m_acceptor.close(ignored);
    m_acceptTimer.cancel();
    const auto connections = m_connections;
    for (const auto &connection : connections) {
        connection->abort();
    }
}

void Listener::drain()
{
    m_isDraining = true;
    closeAfterResponses();
}

void Listener::closeAfterResponses()
{
    for (const auto &connection : m_connections) {
        connection->closeAfterResponse();
    }
}

std::size_t Listener::busyConnections() const
{
    std::size_t count = 0;
    for (const auto &connection : m_connections) {
        count += connection->isBusy() ? 1 : 0;
    }
    return count;
}

std::size_t Listener::connectionCount() const
{
    return m_connections.size();
}

const ListenerCounts &Listener::counts() const
{
    return m_counts;
}

}
