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

/** Error of a request that got no answer from its peer. */
struct ChannelError
{
    /** Whether any byte of the request may have been sent. */
    bool mayHaveBeenSent = false;
    std::string reason;
};

/** A frame of the answer, or the error that ended the request. */
using ChannelReply = std::variant<FrameT, ChannelError>;

/** Sends requests to one peer. Connects on demand and reconnects after a connection was lost. */
class FrameChannel : public std::enable_shared_from_this<FrameChannel>
{
public:
    /** Called for each frame of an answer; the last call gets a frame with `last` set or an error. */
    using ReplyHandler = std::function<void(ChannelReply)>;
    /** Sets the fields that every frame carries. */
    using FrameStamp = std::function<void(FrameT &)>;

    /**
     * @param context context that runs the connection
     * @param address address that the peer listens on
     * @param stamp called for each frame before it is sent
     * @param connectTimeout maximum time to connect; requests that wait for the connection fail afterwards
     */
    FrameChannel(boost::asio::io_context &context, Address address, FrameStamp stamp,
                 std::chrono::milliseconds connectTimeout = defaultConnectTimeout);

    /**
     * Sends a request.
     *
     * @param message the request
     * @param onReply called on the threads of the context
     * @param relayTo process that the peer relays the request to; nothing if the request is for the peer itself
     * @return id of the request, to be passed to cancel()
     */
    std::uint64_t sendRequest(MessageUnion message, ReplyHandler onReply, const std::optional<Address> &relayTo = {});

    /** Asks the peer to cancel a request. @param requestId id that sendRequest() returned */
    void cancel(std::uint64_t requestId);

    /** Closes the connection. Pending requests end with an error. */
    void close();

    /** @return address that the peer listens on */
    const Address &address() const;

    /** An overloaded listener drops the SYN packet, which TCP retransmits only after a second. */
    static constexpr std::chrono::milliseconds defaultConnectTimeout{1000};

private:
    struct PendingRequest
    {
        ReplyHandler onReply;
        /** The request, until it is passed to a connection. */
        std::unique_ptr<FrameT> unsent;
    };

    void connect();
    void handleConnected(FrameSession::Socket socket);
    void handleFrame(FrameT frame);
    void handleConnectionLost(const std::string &reason);
    void sendFrame(const std::shared_ptr<FrameSession> &session, FrameT &frame);

    boost::asio::io_context &m_context;
    const Address m_address;
    FrameStamp m_stamp;
    const std::chrono::milliseconds m_connectTimeout;
    std::mutex m_mutex;
    std::shared_ptr<FrameSession> m_session;
    bool m_connecting = false;
    std::uint64_t m_lastRequestId = 0;
    std::unordered_map<std::uint64_t, PendingRequest> m_pendingRequests;
};

}
