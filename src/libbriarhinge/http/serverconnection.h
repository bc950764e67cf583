#pragma once

#include "base/memorybudget.h"
#include "base/units.h"
#include "http/headers.h"
#include "http/serverlimits.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>

namespace briarhinge::http
{

/** A complete request. */
struct IncomingRequest
{
    std::string method;
    std::string target;
    Headers headers;
    std::string body;
    bool isKeepAlive = true;
};

/** Status and header fields of a response, without Content-Length and the fields of the connection itself. */
struct OutgoingResponseHead
{
    unsigned status = 0;
    Headers headers;
};

/** A complete response. */
struct OutgoingResponse
{
    OutgoingResponseHead head;
    std::string body;
};

/** A request that is refused before it has arrived whole; it is not run. */
struct RefusedRequest
{
    /** 400, 408, 413, 431 or 503. */
    unsigned status = 0;
    /** Size of the body that was announced, if it was. */
    std::optional<std::uint64_t> announcedBytes;
    /** Time after which the request may be repeated, if that can help. */
    std::optional<std::chrono::seconds> retryDelay;
};

/** Creates the response to a refused request. */
using RefusalFormat = std::function<OutgoingResponse(const RefusedRequest &)>;

/** @return a response with the status and the retry delay of a refused request, and no body */
OutgoingResponse plainRefusal(const RefusedRequest &request);

/** What a connection is doing, in the order in which connections give way to others. */
enum class ConnectionState {
    /** The last response was sent. */
    Closing,
    /** No request has begun yet. */
    Unused,
    /** Between two requests. */
    Idle,
    /** A request has begun to arrive. */
    Receiving,
    /** The caller does not read its response. */
    Unread,
    /** A request is being handled. */
    Busy,
};

/**
 * Server side of a persistent HTTP/1.1 connection. Reads one request at a time, reports when the caller disconnects,
 * and sends responses whole or in chunks.
 */
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
    /** Called for each request; the response may be sent later. */
    using RequestHandler = std::function<void(const std::shared_ptr<ServerConnection> &, IncomingRequest)>;
    /** Called when the connection has been closed. */
    using CloseHandler = std::function<void(const std::shared_ptr<ServerConnection> &)>;
    using Time = std::chrono::steady_clock::time_point;
    using Executor = boost::asio::ip::tcp::socket::executor_type;

    /**
     * @param socket a connected socket
     * @param limits called for the current limits before each request
     * @param memory the memory for what the connection receives and sends
     * @param refusalFormat creates the responses to requests that are refused
     * @param onRequest called for each request
     * @param onClose called when the connection has been closed
     */
    ServerConnection(boost::asio::ip::tcp::socket socket, std::function<ServerLimits()> limits,
                     const base::MemoryBudget &memory, RefusalFormat refusalFormat, RequestHandler onRequest,
                     CloseHandler onClose);
    ~ServerConnection();

    /** Starts reading requests. */
    void start();

    /**
     * Sets a handler for the current request.
     *
     * @param onDisconnect called when the caller disconnects before the response is complete
     */
    void setDisconnectHandler(std::function<void()> onDisconnect);

    /**
     * Sends a complete response to the current request.
     *
     * @param head status and header fields
     * @param body the whole body
     */
    void respond(const OutgoingResponseHead &head, std::string_view body);

    /**
     * Starts a chunked response to the current request.
     *
     * @param head status and header fields
     */
    void beginResponse(const OutgoingResponseHead &head);

    /**
     * Sends a chunk of the response.
     *
     * @param chunk content of the chunk; must not be empty
     */
    void sendChunk(std::string_view chunk);

    /** Ends a chunked response. */
    void endResponse();

    /** Closes the connection without ending the response, so that the caller can detect that it is incomplete. */
    void abort();

    /** Lets the connection close after the next response. */
    void closeAfterResponse();

    /** Closes the connection after the response to the current request, or at once when there is none. */
    void closeWhenIdle();

    /** @return whether a request has not been answered completely */
    bool isBusy() const;

    /** @return what the connection is doing */
    ConnectionState state() const;

    /** @return runs the handlers of the connection; the other methods must be called there */
    Executor executor();

    /** @return time since which the connection has been in its state */
    Time stateSince() const;

    /**
     * Ends the connection in favour of others, unless a request is being handled: a request that has not arrived whole is
     * answered with 503, which promises that it does not run, and a response that has not been read is broken off.
     */
    void giveWay();

private:
    class Private;

    void awaitRequest();
    void readMore();
    void readAvailable();
    void parseInput();
    bool isWithinBuffer() const;
    void requestReceived();
    void refuse(unsigned status);
    void sendContinue();
    void abandonResponse();
    std::size_t unsentBytes() const;
    bool accountMemory();
    void updateReclaimHandler();
    void enterState();
    void write(std::string bytes);
    void writeNext();
    void responseSent();
    void closeGracefully();
    void closeNow();
    void startTimer(base::Milliseconds limit, bool isExtension = false);

    std::unique_ptr<Private> d;
};

}
