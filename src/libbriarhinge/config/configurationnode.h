#pragma once

#include "config/configurationserver.h"
#include "config/distributor.h"
#include "keyvalue/httpkeyvalue.h"
#include "membership/vmlist.h"

#include <string>

namespace briarhinge::config
{

/** The configuration of one process: receives new revisions, serves them to peers and stamps the revision on frames. */
class ConfigurationNode
{
public:
    using Distribution = Distributor<keyvalue::HttpKeyValue>;

    /**
     * @param self this process
     * @param context executes the timers
     * @param keyValueUrl base URL of the platform's key-value service
     * @param makeChannel creates the channel to a peer
     * @param log receives events about configuration changes
     */
    ConfigurationNode(Peer self, boost::asio::io_context &context, const std::string &keyValueUrl,
                      Distribution::ChannelFactory makeChannel, logging::EventLog &log);

    /** Starts the background thread that follows the configuration. */
    void start();

    /** Stops the background thread; blocks until a watch in progress returns. */
    void stop();

    /** Replaces the list of peers. @param vms the complete VM list */
    void updatePeers(const std::vector<membership::Vm> &vms);

    /**
     * Handles an incoming frame: serves a configuration request, otherwise records the revision stamped on the frame.
     *
     * @param session the session that the frame arrived on
     * @param frame the incoming frame
     * @return whether the frame was a configuration request and needs no further handling
     */
    bool handleFrame(const std::shared_ptr<wire::FrameSession> &session, const wire::FrameT &frame);

    /** Stamps the active revision on an outgoing frame. @param frame the frame to stamp */
    void stamp(wire::FrameT &frame) const;

    /** @return the configuration that is active in this process */
    const ActiveConfiguration &activeConfiguration() const;

private:
    keyvalue::HttpKeyValue m_keyValue;
    ActiveConfiguration m_activeConfiguration;
    Distribution m_distributor;
    ConfigurationServer m_server;
};

}
