#pragma once

#include "base/units.h"
#include "turns/turnstore.h"
#include "wire/framechannel.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include <boost/asio/io_context.hpp>

namespace briarhinge::turns
{

/** Connections of one process to turn stores. All methods must be called on one thread. */
class StorePeers
{
public:
    /** Receives the response or an error; called exactly once. */
    using ReplyHandler = std::function<void(wire::ChannelReply)>;

    /** @param context runs the connections */
    explicit StorePeers(boost::asio::io_context &context);

    /**
     * Sends a request to a turn store. On a timeout the connection is closed, since an open connection may have become
     * permanently unresponsive.
     *
     * @param address listen address of the turn store
     * @param message the request
     * @param timeout maximum wait for the response
     * @param onReply receives the response or an error
     */
    void sendRequest(const wire::Address &address, wire::MessageUnion message, base::Milliseconds timeout,
                     ReplyHandler onReply);

    /** Sets the listen addresses of the processes that relay requests for this one. */
    void setRelays(std::vector<wire::Address> relays);

    /** @return whether any relay is known */
    bool hasRelays() const;

    /**
     * Sends a request to a turn store through a relay, for use while this process can't reach the store itself. After a
     * failure the next request uses the next relay. At least one relay must be known.
     *
     * @param address listen address of the turn store
     * @param message the request
     * @param timeout maximum wait for the response
     * @param onReply receives the response or an error
     */
    void sendRequestByRelay(const wire::Address &address, wire::MessageUnion message, base::Milliseconds timeout,
                            ReplyHandler onReply);

private:
    void sendTo(const wire::Address &peer, const std::optional<wire::Address> &relayTo, wire::MessageUnion message,
                base::Milliseconds timeout, ReplyHandler onReply);

    boost::asio::io_context &m_context;
    std::vector<wire::Address> m_relays;
    std::size_t m_nextRelay = 0;
    std::map<wire::Address, std::shared_ptr<wire::FrameChannel>> m_channels;
};

}
