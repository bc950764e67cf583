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

    /** Sets the processes that pass requests on for this one. @param relays where they listen */
    void setRelays(std::vector<wire::Address> relays);

    /** @return whether any process is known that passes requests on */
    bool hasRelays() const;

    /**
     * Asks a turn store by another process, as long as this one can't reach it. After a failure another relay has its
     * turn.
     *
     * @param address where the turn store listens
     * @param message the request
     * @param timeout longest wait for the answer
     * @param onReply gets the answer or an error
     */
    void askByRelay(const wire::Address &address, wire::MessageUnion message, base::Milliseconds timeout,
                    ReplyHandler onReply);

private:
    void askAt(const wire::Address &peer, const std::optional<wire::Address> &relayTo, wire::MessageUnion message,
               base::Milliseconds timeout, ReplyHandler onReply);

    boost::asio::io_context &m_context;
    std::vector<wire::Address> m_relays;
    std::size_t m_nextRelay = 0;
    std::map<wire::Address, std::shared_ptr<wire::FrameChannel>> m_channels;
};

}
