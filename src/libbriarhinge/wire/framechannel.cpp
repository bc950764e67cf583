#include "wire/framechannel.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

namespace briarhinge::wire
{

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace
{

/** Part of the maximum frame size that is reserved for everything but the text of a request. */
constexpr std::size_t reservedFieldBytes = std::size_t{64} * 1024;

/** @return size in bytes of the fields of a request that are not limited otherwise */
std::size_t textBytes(const MessageUnion &message)
{
    const auto *execute = message.AsExecuteCall();
    return execute == nullptr ? 0 : execute->prompt.size() + execute->partial.size();
}

}

FrameChannel::FrameChannel(asio::io_context &context, Address address, FrameStamp stamp,
                           std::chrono::milliseconds connectTimeout)
    : m_context(context)
    , m_address(std::move(address))
    , m_stamp(std::move(stamp))
    , m_connectTimeout(connectTimeout)
{
}

std::uint64_t FrameChannel::sendRequest(MessageUnion message, ReplyHandler onReply,
                                        const std::optional<Address> &relayTo)
{
    const std::size_t bytes = textBytes(message);
    auto frame = std::make_unique<FrameT>();
    frame->message = std::move(message);
    frame->relay_to = relayTo ? toString(*relayTo) : std::string();
    const std::lock_guard lock(m_mutex);
    const std::uint64_t requestId = ++m_lastRequestId;
    if (bytes > maxFrameBytes - reservedFieldBytes) {
        // The peer would close the connection, which would fail all other requests on it.
        asio::post(m_context, [onReply = std::move(onReply), bytes] {
            onReply(ChannelError{false, "a request of " + std::to_string(bytes) + " bytes does not fit into a frame"});
        });
        return requestId;
    }
    frame->request_id = requestId;
    PendingRequest &pending = m_pendingRequests[requestId];
    pending.onReply = std::move(onReply);
    if (m_session) {
        sendFrame(m_session, *frame);
        return requestId;
    }
    pending.unsent = std::move(frame);
    if (!m_connecting) {
        m_connecting = true;
        connect();
    }
    return requestId;
}

void FrameChannel::cancel(std::uint64_t requestId)
{
    FrameT frame;
    frame.request_id = requestId;
    frame.message.Set(CancelCallT{});
    const std::lock_guard lock(m_mutex);
    if (m_session && m_pendingRequests.contains(requestId)) {
        sendFrame(m_session, frame);
    }
}

void FrameChannel::close()
{
    std::shared_ptr<FrameSession> session;
    {
        const std::lock_guard lock(m_mutex);
        session = m_session;
    }
    if (session) {
        session->close("channel closed");
    }
}

const Address &FrameChannel::address() const
{
    return m_address;
}

void FrameChannel::connect()
{
    auto socket = std::make_shared<tcp::socket>(asio::make_strand(m_context));
    auto timer = std::make_shared<asio::steady_timer>(socket->get_executor(), m_connectTimeout);
    error_code error;
    const tcp::endpoint endpoint(asio::ip::make_address(m_address.host, error), m_address.port);
    timer->async_wait([socket](error_code cancelled) {
        if (!cancelled) {
            error_code ignored;
            socket->close(ignored);
        }
    });
    socket->async_connect(endpoint, [self = shared_from_this(), socket, timer](error_code failed) {
        timer->cancel();
        if (failed || !socket->is_open()) {
            self->handleConnectionLost("can't connect to " + toString(self->m_address) + ": "
                                       + (failed ? failed.message() : "timed out"));
            return;
        }
        self->handleConnected(std::move(*socket));
    });
}

void FrameChannel::handleConnected(FrameSession::Socket socket)
{
    const std::weak_ptr<FrameChannel> weak = weak_from_this();
    auto session = std::make_shared<FrameSession>(
        std::move(socket),
        [weak](const auto &, FrameT frame) {
            if (const auto self = weak.lock()) {
                self->handleFrame(std::move(frame));
            }
        },
        [weak](const auto &, const std::string &reason) {
            if (const auto self = weak.lock()) {
                self->handleConnectionLost(reason);
            }
        });
    session->start();
    const std::lock_guard lock(m_mutex);
    m_connecting = false;
    m_session = session;
    for (auto &[id, pending] : m_pendingRequests) {
        if (pending.unsent) {
            sendFrame(session, *pending.unsent);
            pending.unsent.reset();
        }
    }
}

void FrameChannel::handleFrame(FrameT frame)
{
    ReplyHandler handler;
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_pendingRequests.find(frame.request_id);
        if (found == m_pendingRequests.end()) {
            return;
        }
        handler = found->second.onReply;
        if (frame.last) {
            m_pendingRequests.erase(found);
        }
    }
    handler(std::move(frame));
}

void FrameChannel::handleConnectionLost(const std::string &reason)
{
    std::unordered_map<std::uint64_t, PendingRequest> ended;
    {
        const std::lock_guard lock(m_mutex);
        m_connecting = false;
        m_session.reset();
        ended.swap(m_pendingRequests);
    }
    for (auto &[id, pending] : ended) {
        pending.onReply(ChannelError{pending.unsent == nullptr, reason});
    }
}

void FrameChannel::sendFrame(const std::shared_ptr<FrameSession> &session, FrameT &frame)
{
    m_stamp(frame);
    session->send(frame);
}

}
