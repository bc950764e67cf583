#pragma once

#include "config/configurationserver.h"
#include "config/distributor.h"
#include "keyvalue/httpkeyvalue.h"
#include "membership/vmlist.h"

#include <string>

namespace briarhinge::config
{

/** The configuration side of a process: gets every revision, hands it on to peers, and marks each frame with it. */
class ConfigurationNode
{
public:
    using Distribution = Distributor<keyvalue::HttpKeyValue>;

    /**
     * @param self this process
     * @param context runs the timers
     * @param keyValueUrl address of the platform's service
     * @param makeChannel makes the connection to a peer
     * @param log gets the events
     */
    ConfigurationNode(Peer self, boost::asio::io_context &context, const std::string &keyValueUrl,
                      Distribution::ChannelFactory makeChannel, logging::EventLog &log);

    /** Starts to follow the configuration. */
    void start();

    /** Stops following; waits for a watch under way. */
    void stop();

    /** Takes in the VM list. @param vms every VM */
    void updatePeers(const std::vector<membership::Vm> &vms);

    /**
     * Looks at a frame that arrived.
     *
     * @param session where from
     * @param frame the frame
     * @return whether it concerns the configuration and is dealt with
     */
    bool received(const std::shared_ptr<wire::FrameSession> &session, const wire::FrameT &frame);

    /** Marks a frame with the revision in force. @param frame a frame to be sent */
    void stamp(wire::FrameT &frame) const;

    /** @return what is in force in this process */
    const InForce &inForce() const;

private:
    keyvalue::HttpKeyValue m_keyValue;
    InForce m_inForce;
    Distribution m_distributor;
    ConfigurationServer m_server;
};

}
