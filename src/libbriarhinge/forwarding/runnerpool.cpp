#include "forwarding/runnerpool.h"

#include <algorithm>

namespace briarhinge::forwarding
{

namespace
{

/** Connecting normally takes one round trip plus 1 ms; if it takes much longer, the runner is likely to be faulty. */
constexpr base::Milliseconds connectTimeout{250};
/** Maximum time without a TCP acknowledgement from the runner's host while a request is in progress. */
constexpr base::Milliseconds silenceLimit{3000};
/**
 * Idle connections are not reused within this time before the runner would close them, so that no request crosses the
 * close.
 */
constexpr base::Milliseconds closeMargin{700};
/** Maximum number of idle connections per runner. A runner has few slots, so more are not needed. */
constexpr std::size_t mostKept = 24;

}

RunnerPool::RunnerPool(boost::asio::io_context &context)
    : m_context(context)
{
}

void RunnerPool::take(const dispatch::RunnerId &id, const wire::Address &address, ConnectionHandler onReady)
{
    const auto found = m_kept.find(id);
    const auto now = std::chrono::steady_clock::now();
    while (found != m_kept.end() && !found->second.empty()) {
        const Kept kept = std::move(found->second.back());
        found->second.pop_back();
        if (kept.connection->isReusable() && now < kept.until) {
            onReady(kept.connection);
            return;
        }
        kept.connection->close();
    }
    http::ClientConnection::connect(m_context, address, connectTimeout, silenceLimit, std::move(onReady));
}

void RunnerPool::keep(const dispatch::RunnerId &id, std::shared_ptr<http::ClientConnection> connection,
                      base::Milliseconds keepFor)
{
    auto &kept = m_kept[id];
    std::erase_if(kept, [](const Kept &other) {
        return !other.connection->isReusable();
    });
    if (!connection->isReusable() || keepFor <= closeMargin || kept.size() >= mostKept) {
        connection->close();
        return;
    }
    kept.push_back({std::move(connection), std::chrono::steady_clock::now() + keepFor - closeMargin});
}

void RunnerPool::drop(const dispatch::RunnerId &id)
{
    const auto found = m_kept.find(id);
    if (found == m_kept.end()) {
        return;
    }
    for (const Kept &kept : found->second) {
        kept.connection->close();
    }
    m_kept.erase(found);
}

}
