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

/** Answers what operators ask of an entry, by asking every process that it concerns. */
class OperatorService
{
public:
    using ChannelFactory = std::function<std::shared_ptr<wire::FrameChannel>(const wire::Address &)>;

    /** @param context runs the time limits @param makeChannel makes the connection to a process */
    OperatorService(boost::asio::io_context &context, ChannelFactory makeChannel);

    /** Takes in the VM list. @param vms every VM */
    void update(const std::vector<membership::Vm> &vms);

    /** Answers a request. @param request what the operator asks @param reply gets the answer */
    void handle(const http::OperatorRequest &request, const std::function<void(const api::ClientReply &)> &reply);

private:
    using Reply = std::function<void(const api::ClientReply &)>;

    void askAll(const std::vector<membership::Vm> &vms, wire::OperatorVerb verb, const Reply &reply);
    std::vector<membership::Vm> vmsWhere(const std::function<bool(const membership::Vm &)> &predicate) const;
    std::shared_ptr<wire::FrameChannel> channelTo(const wire::Address &address);

    boost::asio::io_context &m_context;
    ChannelFactory m_makeChannel;
    mutable std::mutex m_mutex;
    std::vector<membership::Vm> m_vms;
    std::map<wire::Address, std::shared_ptr<wire::FrameChannel>> m_channels;
};

/**
 * Answers an operator's request to this one process.
 *
 * @param session where the request came from
 * @param frame the frame
 * @param local gives the answer of this process
 * @return whether the frame was an operator's request
 */
bool answerOperator(const std::shared_ptr<wire::FrameSession> &session, const wire::FrameT &frame,
                    const std::function<api::ClientReply(wire::OperatorVerb)> &local);

}
