#include "config/configurationserver.h"

#include <algorithm>

namespace briarhinge::config
{

namespace
{

constexpr base::Milliseconds maxWait{10'000};

}

ConfigurationServer::ConfigurationServer(boost::asio::io_context &context, ActiveConfiguration &activeConfiguration,
                                         NewerRevisionHandler onNewerRevision)
    : m_context(context)
    , m_activeConfiguration(activeConfiguration)
    , m_onNewerRevision(std::move(onNewerRevision))
{
    m_activeConfiguration.addListener([this] {
        completeAll();
    });
}

void ConfigurationServer::handleFetch(const std::shared_ptr<wire::FrameSession> &session, std::uint64_t requestId,
                                      const wire::FetchConfigurationT &fetch)
{
    const base::Revision knownRevision(fetch.revision);
    const PendingRequest request{session, requestId, knownRevision, nullptr};
    const base::Milliseconds wait = std::min(base::Milliseconds(fetch.wait_ms), maxWait);
    if (m_activeConfiguration.revision() > knownRevision || wait == base::Milliseconds(0)) {
        reply(request);
    } else {
        enqueue(request, wait);
    }
    const auto address = wire::parseAddress(fetch.from);
    if (knownRevision > m_activeConfiguration.highestSeen() && address) {
        m_onNewerRevision(knownRevision, *address);
    }
}

void ConfigurationServer::enqueue(PendingRequest request, base::Milliseconds wait)
{
    request.timer = std::make_shared<boost::asio::steady_timer>(m_context, wait);
    std::uint64_t id = 0;
    {
        const std::lock_guard lock(m_mutex);
        id = ++m_lastId;
        m_pendingRequests.emplace(id, request);
    }
    request.timer->async_wait([this, id](boost::system::error_code cancelled) {
        if (!cancelled) {
            complete(id);
        }
    });
    // A revision that became active before the request was stored has notified the listeners already.
    if (m_activeConfiguration.revision() > request.knownRevision) {
        complete(id);
    }
}

void ConfigurationServer::complete(std::uint64_t id)
{
    PendingRequest request;
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_pendingRequests.find(id);
        if (found == m_pendingRequests.end()) {
            return;
        }
        request = std::move(found->second);
        m_pendingRequests.erase(found);
    }
    request.timer->cancel();
    reply(request);
}

void ConfigurationServer::completeAll()
{
    std::map<std::uint64_t, PendingRequest> all;
    {
        const std::lock_guard lock(m_mutex);
        all.swap(m_pendingRequests);
    }
    for (const auto &[id, request] : all) {
        request.timer->cancel();
        reply(request);
    }
}

void ConfigurationServer::reply(const PendingRequest &request) const
{
    const auto active = m_activeConfiguration.current();
    wire::ConfigurationT configuration;
    configuration.known = active != nullptr;
    if (active) {
        configuration.revision = active->revision.value();
        if (active->revision > request.knownRevision) {
            configuration.document = active->document;
        }
    }
    wire::FrameT frame;
    frame.request_id = request.requestId;
    frame.last = true;
    frame.revision = configuration.revision;
    frame.message.Set(std::move(configuration));
    request.session->send(frame);
}

}
