#pragma once

#include "base/units.h"
#include "http/headers.h"
#include "http/serverlimits.h"

#include <cstdint>
#include <functional>
#include <memory>
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

    /**
     * @param socket a connected socket
     * @param limits called for the current limits before each request
     * @param onRequest called for each request
     * @param onClose called when the connection has been closed
     */
    ServerConnection(boost::asio::ip::tcp::socket socket, std::function<ServerLimits()> limits,
                     RequestHandler onRequest, CloseHandler onClose);
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

private:
    class Private;

    void awaitRequest();
    void readMore();
    void parseInput();
    bool isWithinBuffer() const;
    void requestReceived();
    void refuse(unsigned status);
    void write(std::string bytes);
    void writeNext();
    void responseSent();
    void closeGracefully();
    void closeNow();
    void startTimer(base::Milliseconds limit);

    std::unique_ptr<Private> d;
};

}
