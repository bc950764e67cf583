#pragma once

#include "base/units.h"
#include "turns/turnstore.h"
#include "wire/framechannel.h"

#include <functional>
#include <map>
#include <memory>

#include <boost/asio/io_context.hpp>

namespace briarhinge::turns
{

/** The connections of one process to turn stores. One thread. */
class StorePeers
{
public:
    /** Gets an answer, or an error; called once. */
    using ReplyHandler = std::function<void(wire::ChannelReply)>;

    /** @param context runs the connections */
    explicit StorePeers(boost::asio::io_context &context);

    /**
     * Asks a turn store. A store that stays silent for the timeout loses its connection, since an open connection may
     * have gone silent for good.
     *
     * @param address where it listens
     * @param message the request
     * @param timeout longest wait for the answer
     * @param onReply gets the answer or an error
     */
    void ask(const wire::Address &address, wire::MessageUnion message, base::Milliseconds timeout,
             ReplyHandler onReply);

private:
    boost::asio::io_context &m_context;
    std::map<wire::Address, std::shared_ptr<wire::FrameChannel>> m_channels;
};

}
