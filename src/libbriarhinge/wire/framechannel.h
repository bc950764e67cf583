#pragma once

#include "wire/address.h"
#include "wire/framesession.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>

#include <boost/asio/io_context.hpp>

namespace briarhinge::wire
{

/** Why a request got no answer from its peer. */
struct ChannelError
{
    /** Whether any byte of the request may have left. */
    bool mayHaveLeft = false;
    std::string reason;
};

/** A frame of the answer, or why there will be none. */
using ChannelReply = std::variant<FrameT, ChannelError>;

/** Asks one peer; connects when needed and again after a loss. */
class FrameChannel : public std::enable_shared_from_this<FrameChannel>
{
public:
    /** Called for each frame of an answer; the last call has `last` set or is an error. */
    using ReplyHandler = std::function<void(ChannelReply)>;
    /** Fills in what every frame carries. */
    using FrameStamp = std::function<void(FrameT &)>;

    /**
     * @param context runs the connection
     * @param address where the peer listens
     * @param stamp called for each frame before it is sent
     * @param connectTimeout longest wait for a connection; what waits for it fails then
     */
    FrameChannel(boost::asio::io_context &context, Address address, FrameStamp stamp,
                 std::chrono::milliseconds connectTimeout = defaultConnectTimeout);

    /**
     * Sends a request.
     *
     * @param message the request
     * @param onReply called on the threads of the context
     * @param relayTo whom the peer passes the request on to; nothing when it is for the peer
     * @return the id of the request, for cancel
     */
    std::uint64_t ask(MessageUnion message, ReplyHandler onReply, const std::optional<Address> &relayTo = {});

    /** Asks the peer to stop a request. @param requestId as given by ask */
    void cancel(std::uint64_t requestId);

    /** Closes the connection; requests under way end with an error. */
    void close();

    /** @return where the peer listens */
    const Address &address() const;

    /** A crowded listener drops the opening packet, which is sent again after a second. */
    static constexpr std::chrono::milliseconds defaultConnectTimeout{1000};

private:
    struct Pending
    {
        ReplyHandler onReply;
        /** The request, until it is handed to a connection. */
        std::unique_ptr<FrameT> unsent;
    };

    void connect();
    void connected(FrameSession::Socket socket);
    void received(FrameT frame);
    void lost(const std::string &reason);
    void sendFrame(const std::shared_ptr<FrameSession> &session, FrameT &frame);

    boost::asio::io_context &m_context;
    const Address m_address;
    FrameStamp m_stamp;
    const std::chrono::milliseconds m_connectTimeout;
    std::mutex m_mutex;
    std::shared_ptr<FrameSession> m_session;
    bool m_connecting = false;
    std::uint64_t m_lastRequestId = 0;
    std::unordered_map<std::uint64_t, Pending> m_pending;
};

}
