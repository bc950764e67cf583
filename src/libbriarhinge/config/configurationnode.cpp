#include "config/configurationnode.h"

namespace briarhinge::config
{

namespace
{

constexpr base::Milliseconds keyValueTimeout{2000};

}

ConfigurationNode::ConfigurationNode(Peer self, boost::asio::io_context &context, const std::string &keyValueUrl,
                                     Distribution::ChannelFactory makeChannel, logging::EventLog &log)
    : m_keyValue(keyValueUrl, keyValueTimeout)
    , m_distributor(std::move(self), m_keyValue, m_activeConfiguration, std::move(makeChannel), log)
    , m_server(context, m_activeConfiguration, [this](base::Revision revision, const wire::Address &holder) {
        m_distributor.recordRevision(revision, holder);
    })
{
}

void ConfigurationNode::start()
{
    m_distributor.start();
}

void ConfigurationNode::stop()
{
    m_distributor.stop();
}

void ConfigurationNode::updatePeers(const std::vector<membership::Vm> &vms)
{
    std::vector<Peer> peers;
    peers.reserve(vms.size());
    for (const membership::Vm &vm : vms) {
        peers.push_back({vm.name, vm.zone, vm.address});
    }
    m_distributor.updatePeers(std::move(peers));
}

bool ConfigurationNode::handleFrame(const std::shared_ptr<wire::FrameSession> &session, const wire::FrameT &frame)
{
    if (const auto *fetch = frame.message.AsFetchConfiguration()) {
        m_server.handleFetch(session, frame.request_id, *fetch);
        return true;
    }
    m_distributor.recordRevision(base::Revision(frame.revision));
    return false;
}

void ConfigurationNode::stamp(wire::FrameT &frame) const
{
    frame.revision = m_activeConfiguration.revision().value();
}

const ActiveConfiguration &ConfigurationNode::activeConfiguration() const
{
    return m_activeConfiguration;
}

}
