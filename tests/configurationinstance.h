#pragma once

#include "config/configurationserver.h"
#include "config/distributor.h"
#include "fakekeyvalue.h"
#include "wire/frameserver.h"
#include "wire/iothreads.h"

#include <atomic>
#include <memory>

namespace briarhinge::tests
{

/** The configuration components of one process, connected to others over loopback TCP. */
class ConfigurationInstance
{
public:
    /** Called on every frame that this instance sends. */
    using Stamp = wire::FrameChannel::FrameStamp;

    ConfigurationInstance(const std::string &name, const std::string &zone, wire::IoThreads &threads,
                          FakeKeyValue &keyValue, logging::EventLog &log, const config::DistributionTimes &times,
                          Stamp stamp)
        : m_server(
            threads.context(), log,
            [this](const std::shared_ptr<wire::FrameSession> &session, const wire::FrameT &frame) {
                if (const auto *fetch = frame.message.AsFetchConfiguration()) {
                    m_answers->received(session, frame.request_id, *fetch);
                }
            },
            [](const auto &, const auto &) {})
    {
        const auto port = std::get<std::uint16_t>(m_server.listen({"127.0.0.1", 0}));
        m_self = {name, base::ZoneName(zone), {"127.0.0.1", port}};
        m_answers = std::make_unique<config::ConfigurationServer>(
            threads.context(), m_inForce, [this](base::Revision seen, const wire::Address &holder) {
                m_distributor->seen(seen, holder);
            });
        m_inForce.listen([this] {
            m_reached = m_inForce.revision().value();
        });
        m_distributor = std::make_unique<config::Distributor<FakeKeyValue>>(
            m_self, keyValue, m_inForce,
            [&threads, stamp](const wire::Address &address) {
                return std::make_shared<wire::FrameChannel>(threads.context(), address, stamp);
            },
            log, times);
    }

    const config::Peer &self() const
    {
        return m_self;
    }

    config::InForce &inForce()
    {
        return m_inForce;
    }

    config::Distributor<FakeKeyValue> &distributor()
    {
        return *m_distributor;
    }

    void start(const std::vector<config::Peer> &peers)
    {
        m_distributor->updatePeers(peers);
        m_distributor->start();
    }

    void stop()
    {
        m_distributor->stop();
        m_server.stop();
    }

    bool has(std::uint64_t revision) const
    {
        return m_reached >= revision;
    }

private:
    config::InForce m_inForce;
    std::unique_ptr<config::ConfigurationServer> m_answers;
    wire::FrameServer m_server;
    config::Peer m_self;
    std::unique_ptr<config::Distributor<FakeKeyValue>> m_distributor;
    std::atomic<std::uint64_t> m_reached{0};
};

}
