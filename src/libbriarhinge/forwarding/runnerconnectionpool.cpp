#include "forwarding/runnerconnectionpool.h"

#include <algorithm>

namespace briarhinge::forwarding
{

namespace
{

/** Connecting normally takes one round trip plus 1 ms; if it takes much longer, the runner is likely to be faulty. */
constexpr base::Milliseconds connectTimeout{250};
/** Maximum time without a TCP acknowledgement from the runner's host while a request is in progress. */
constexpr base::Milliseconds peerTimeout{3000};
/**
 * Idle connections are not reused within this time before the runner would close them, so that no request crosses the
 * close.
 */
constexpr base::Milliseconds closeMargin{700};
/** Maximum number of idle connections per runner. A runner has few slots, so more are not needed. */
constexpr std::size_t maxIdleConnections = 24;

}

RunnerConnectionPool::RunnerConnectionPool(boost::asio::io_context &context)
    : m_context(context)
{
}

void RunnerConnectionPool::acquire(const dispatch::RunnerId &id, const wire::Address &address,
                                   ConnectionHandler onReady)
{
    const auto found = m_idle.find(id);
    const auto now = std::chrono::steady_clock::now();
    while (found != m_idle.end() && !found->second.empty()) {
        const IdleConnection idle = std::move(found->second.back());
        found->second.pop_back();
        if (idle.connection->isReusable() && now < idle.expiresAt) {
            onReady(idle.connection);
            return;
        }
        idle.connection->close();
    }
    http::ClientConnection::connect(m_context, address, connectTimeout, peerTimeout, std::move(onReady));
}

void RunnerConnectionPool::release(const dispatch::RunnerId &id, std::shared_ptr<http::ClientConnection> connection,
                                   base::Milliseconds keepAliveTimeout)
{
    auto &idle = m_idle[id];
    std::erase_if(idle, [](const IdleConnection &other) {
        return !other.connection->isReusable();
    });
    if (!connection->isReusable() || keepAliveTimeout <= closeMargin || idle.size() >= maxIdleConnections) {
        connection->close();
        return;
    }
    idle.push_back({std::move(connection), std::chrono::steady_clock::now() + keepAliveTimeout - closeMargin});
}

void RunnerConnectionPool::closeIdle(const dispatch::RunnerId &id)
{
    const auto found = m_idle.find(id);
    if (found == m_idle.end()) {
        return;
    }
    for (const IdleConnection &idle : found->second) {
        idle.connection->close();
    }
    m_idle.erase(found);
}

}
