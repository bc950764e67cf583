#include "forwarding/runnerpool.h"

#include <algorithm>

namespace briarhinge::forwarding
{

namespace
{

/** A connection takes a round trip and 1 ms; one that takes longer goes to a runner in trouble. */
constexpr base::Milliseconds connectTimeout{250};
/** Longest silence of a runner's kernel while a request is under way. */
constexpr base::Milliseconds silenceLimit{3000};
/** A connection is given up this long before the runner would close it, so that no request crosses the close. */
constexpr base::Milliseconds closeMargin{700};
/** More are not needed: a runner has few slots. */
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
