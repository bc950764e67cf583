#pragma once

#include "http/callerendpoint.h"
#include "membership/vmlist.h"
#include "wire/framechannel.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

namespace briarhinge::operators
{

/** Handles operator requests to an entry by forwarding them to all processes concerned and collecting the replies. */
class OperatorService
{
public:
    using ChannelFactory = std::function<std::shared_ptr<wire::FrameChannel>(const wire::Address &)>;

    /**
     * @param context runs the timers
     * @param makeChannel creates the connection to a process
     */
    OperatorService(boost::asio::io_context &context, ChannelFactory makeChannel);

    /**
     * Updates the VM list.
     *
     * @param vms all VMs
     */
    void update(const std::vector<membership::Vm> &vms);

    /**
     * Handles a request.
     *
     * @param request the request of the operator
     * @param reply called with the reply
     */
    void handle(const http::OperatorRequest &request, const std::function<void(const api::ClientReply &)> &reply);

private:
    using Reply = std::function<void(const api::ClientReply &)>;

    void queryAll(const std::vector<membership::Vm> &vms, wire::OperatorVerb verb, const Reply &reply);
    std::vector<membership::Vm> vmsWhere(const std::function<bool(const membership::Vm &)> &predicate) const;
    std::shared_ptr<wire::FrameChannel> channelTo(const wire::Address &address);

    boost::asio::io_context &m_context;
    ChannelFactory m_makeChannel;
    mutable std::mutex m_mutex;
    std::vector<membership::Vm> m_vms;
    std::map<wire::Address, std::shared_ptr<wire::FrameChannel>> m_channels;
};

/**
 * Answers a forwarded operator request for this process.
 *
 * @param session the connection that the frame came from
 * @param frame the received frame
 * @param local creates the reply of this process
 * @return whether the frame was an operator request
 */
bool handleOperatorRequest(const std::shared_ptr<wire::FrameSession> &session, const wire::FrameT &frame,
                           const std::function<api::ClientReply(wire::OperatorVerb)> &local);

}
