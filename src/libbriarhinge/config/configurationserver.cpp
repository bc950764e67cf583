#include "config/configurationserver.h"

#include <algorithm>

namespace briarhinge::config
{

namespace
{

constexpr base::Milliseconds maxHold{10'000};

}

ConfigurationServer::ConfigurationServer(boost::asio::io_context &context, InForce &inForce, HigherHandler onHigher)
    : m_context(context)
    , m_inForce(inForce)
    , m_onHigher(std::move(onHigher))
{
    m_inForce.listen([this] {
        releaseAll();
    });
}

void ConfigurationServer::received(const std::shared_ptr<wire::FrameSession> &session, std::uint64_t requestId,
                                   const wire::FetchConfigurationT &fetch)
{
    const base::Revision asked(fetch.revision);
    const Held held{session, requestId, asked, nullptr};
    const base::Milliseconds wait = std::min(base::Milliseconds(fetch.wait_ms), maxHold);
    if (m_inForce.revision() > asked || wait == base::Milliseconds(0)) {
        answer(held);
    } else {
        hold(held, wait);
    }
    const auto address = wire::parseAddress(fetch.from);
    if (asked > m_inForce.highestSeen() && address) {
        m_onHigher(asked, *address);
    }
}

void ConfigurationServer::hold(Held held, base::Milliseconds wait)
{
    held.timer = std::make_shared<boost::asio::steady_timer>(m_context, wait);
    std::uint64_t id = 0;
    {
        const std::lock_guard lock(m_mutex);
        id = ++m_lastId;
        m_held.emplace(id, held);
    }
    held.timer->async_wait([this, id](boost::system::error_code cancelled) {
        if (!cancelled) {
            release(id);
        }
    });
    // A revision that became active before the request was stored has notified the listeners already.
    if (m_inForce.revision() > held.asked) {
        release(id);
    }
}

void ConfigurationServer::release(std::uint64_t id)
{
    Held held;
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_held.find(id);
        if (found == m_held.end()) {
            return;
        }
        held = std::move(found->second);
        m_held.erase(found);
    }
    held.timer->cancel();
    answer(held);
}

void ConfigurationServer::releaseAll()
{
    std::map<std::uint64_t, Held> all;
    {
        const std::lock_guard lock(m_mutex);
        all.swap(m_held);
    }
    for (const auto &[id, held] : all) {
        held.timer->cancel();
        answer(held);
    }
}

void ConfigurationServer::answer(const Held &held) const
{
    const auto present = m_inForce.current();
    wire::ConfigurationT configuration;
    configuration.known = present != nullptr;
    if (present) {
        configuration.revision = present->revision.value();
        if (present->revision > held.asked) {
            configuration.document = present->document;
        }
    }
    wire::FrameT frame;
    frame.request_id = held.requestId;
    frame.last = true;
    frame.revision = configuration.revision;
    frame.message.Set(std::move(configuration));
    held.session->send(frame);
}

}
