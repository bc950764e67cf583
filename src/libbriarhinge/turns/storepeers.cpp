#include "turns/storepeers.h"

#include <boost/asio/steady_timer.hpp>

namespace briarhinge::turns
{

namespace
{

/**
 * Ten round trips between regions. A VM without power does not respond at all, and requests to it should not still be
 * waiting when it is back.
 */
constexpr std::chrono::milliseconds connectTimeout{250};

}

StorePeers::StorePeers(boost::asio::io_context &context)
    : m_context(context)
{
}

void StorePeers::sendRequest(const wire::Address &address, wire::MessageUnion message, base::Milliseconds timeout,
                             ReplyHandler onReply)
{
    sendTo(address, std::nullopt, std::move(message), timeout, std::move(onReply));
}

void StorePeers::setRelays(std::vector<wire::Address> relays)
{
    m_relays = std::move(relays);
}

bool StorePeers::hasRelays() const
{
    return !m_relays.empty();
}

void StorePeers::sendRequestByRelay(const wire::Address &address, wire::MessageUnion message,
                                    base::Milliseconds timeout, ReplyHandler onReply)
{
    const std::size_t relayIndex = m_nextRelay;
    const wire::Address relay = m_relays[relayIndex % m_relays.size()];
    sendTo(relay, address, std::move(message), timeout,
           [this, relayIndex, onReply = std::move(onReply)](wire::ChannelReply reply) {
               const auto *frame = std::get_if<wire::FrameT>(&reply);
               const auto *failure = frame == nullptr ? nullptr : frame->message.AsRelayFailed();
               if ((frame == nullptr || failure != nullptr) && m_nextRelay == relayIndex) {
                   ++m_nextRelay;
               }
               if (failure != nullptr) {
                   onReply(wire::ChannelError{true, "relay: " + failure->reason});
                   return;
               }
               onReply(std::move(reply));
           });
}

void StorePeers::sendTo(const wire::Address &peer, const std::optional<wire::Address> &relayTo,
                        wire::MessageUnion message, base::Milliseconds timeout, ReplyHandler onReply)
{
    auto &channel = m_channels[peer];
    if (!channel) {
        channel = std::make_shared<wire::FrameChannel>(
            m_context, peer, [](wire::FrameT &) {}, connectTimeout);
    }
    struct PendingRequest
    {
        boost::asio::steady_timer timer;
        ReplyHandler onReply;
    };
    auto pending = std::make_shared<PendingRequest>(
        PendingRequest{boost::asio::steady_timer(m_context, timeout), std::move(onReply)});
    pending->timer.async_wait([pending, channel](const boost::system::error_code &error) {
        if (error || !pending->onReply) {
            return;
        }
        const ReplyHandler handler = std::exchange(pending->onReply, nullptr);
        channel->close();
        handler(wire::ChannelError{true, "no answer in time"});
    });
    channel->sendRequest(
        std::move(message),
        [pending](wire::ChannelReply reply) {
            if (!pending->onReply) {
                return;
            }
            pending->timer.cancel();
            const ReplyHandler handler = std::exchange(pending->onReply, nullptr);
            handler(std::move(reply));
        },
        relayTo);
}

}
