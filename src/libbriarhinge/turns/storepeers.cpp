#include "turns/storepeers.h"

#include <boost/asio/steady_timer.hpp>

namespace briarhinge::turns
{

namespace
{

/** Ten round trips between regions. A VM without power answers nothing, and what waits for it should not wait on when
 * it is back. */
constexpr std::chrono::milliseconds connectTimeout{250};

}

StorePeers::StorePeers(boost::asio::io_context &context)
    : m_context(context)
{
}

void StorePeers::ask(const wire::Address &address, wire::MessageUnion message, base::Milliseconds timeout,
                     ReplyHandler onReply)
{
    askAt(address, std::nullopt, std::move(message), timeout, std::move(onReply));
}

void StorePeers::setRelays(std::vector<wire::Address> relays)
{
    m_relays = std::move(relays);
}

bool StorePeers::hasRelays() const
{
    return !m_relays.empty();
}

void StorePeers::askByRelay(const wire::Address &address, wire::MessageUnion message, base::Milliseconds timeout,
                            ReplyHandler onReply)
{
    const std::size_t turn = m_nextRelay;
    const wire::Address relay = m_relays[turn % m_relays.size()];
    askAt(relay, address, std::move(message), timeout,
          [this, turn, onReply = std::move(onReply)](wire::ChannelReply reply) {
              const auto *frame = std::get_if<wire::FrameT>(&reply);
              const auto *failure = frame == nullptr ? nullptr : frame->message.AsRelayFailed();
              if ((frame == nullptr || failure != nullptr) && m_nextRelay == turn) {
                  ++m_nextRelay;
              }
              if (failure != nullptr) {
                  onReply(wire::ChannelError{true, "relay: " + failure->reason});
                  return;
              }
              onReply(std::move(reply));
          });
}

void StorePeers::askAt(const wire::Address &peer, const std::optional<wire::Address> &relayTo,
                       wire::MessageUnion message, base::Milliseconds timeout, ReplyHandler onReply)
{
    auto &channel = m_channels[peer];
    if (!channel) {
        channel = std::make_shared<wire::FrameChannel>(
            m_context, peer, [](wire::FrameT &) {}, connectTimeout);
    }
    struct Question
    {
        boost::asio::steady_timer timer;
        ReplyHandler onReply;
    };
    auto question =
        std::make_shared<Question>(Question{boost::asio::steady_timer(m_context, timeout), std::move(onReply)});
    question->timer.async_wait([question, channel](const boost::system::error_code &error) {
        if (error || !question->onReply) {
            return;
        }
        const ReplyHandler handler = std::exchange(question->onReply, nullptr);
        channel->close();
        handler(wire::ChannelError{true, "no answer in time"});
    });
    channel->sendRequest(
        std::move(message),
        [question](wire::ChannelReply reply) {
            if (!question->onReply) {
                return;
            }
            question->timer.cancel();
            const ReplyHandler handler = std::exchange(question->onReply, nullptr);
            handler(std::move(reply));
        },
        relayTo);
}

}
