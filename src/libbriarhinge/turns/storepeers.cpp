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
    auto &channel = m_channels[address];
    if (!channel) {
        channel = std::make_shared<wire::FrameChannel>(
            m_context, address, [](wire::FrameT &) {}, connectTimeout);
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
    channel->ask(std::move(message), [question](wire::ChannelReply reply) {
        if (!question->onReply) {
            return;
        }
        question->timer.cancel();
        const ReplyHandler handler = std::exchange(question->onReply, nullptr);
        handler(std::move(reply));
    });
}

}
