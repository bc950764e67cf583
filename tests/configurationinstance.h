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
                          FakeKeyValue &keyValue, logging::EventLog &log, const config::DistributionOptions &options,
                          Stamp stamp)
        : m_server(
            threads.context(), log,
            [this](const std::shared_ptr<wire::FrameSession> &session, const wire::FrameT &frame) {
                if (const auto *fetch = frame.message.AsFetchConfiguration()) {
                    m_configurationServer->handleFetch(session, frame.request_id, *fetch);
                }
            },
            [](const auto &, const auto &) {})
    {
        const auto port = std::get<std::uint16_t>(m_server.listen({"127.0.0.1", 0}));
        m_self = {name, base::ZoneName(zone), {"127.0.0.1", port}};
        m_configurationServer = std::make_unique<config::ConfigurationServer>(
            threads.context(), m_activeConfiguration, [this](base::Revision revision, const wire::Address &holder) {
                m_distributor->recordRevision(revision, holder);
            });
        m_activeConfiguration.addListener([this] {
            m_revision = m_activeConfiguration.revision().value();
        });
        m_distributor = std::make_unique<config::Distributor<FakeKeyValue>>(
            m_self, keyValue, m_activeConfiguration,
            [&threads, stamp](const wire::Address &address) {
                return std::make_shared<wire::FrameChannel>(threads.context(), address, stamp);
            },
            log, options);
    }

    const config::Peer &self() const
    {
        return m_self;
    }

    config::ActiveConfiguration &activeConfiguration()
    {
        return m_activeConfiguration;
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

    bool hasRevision(std::uint64_t revision) const
    {
        return m_revision >= revision;
    }

private:
    config::ActiveConfiguration m_activeConfiguration;
    std::unique_ptr<config::ConfigurationServer> m_configurationServer;
    wire::FrameServer m_server;
    config::Peer m_self;
    std::unique_ptr<config::Distributor<FakeKeyValue>> m_distributor;
    std::atomic<std::uint64_t> m_revision{0};
};

}
