#pragma once

#include "base/units.h"
#include "http/headers.h"
#include "http/responseend.h"
#include "wire/address.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

#include <boost/asio/io_context.hpp>

namespace briarhinge::http
{

/** Status and header fields of a response. */
struct ResponseHead
{
    unsigned status = 0;
    Headers headers;
    bool isKeepAlive = false;
};

/** How to proceed after the head of a response. */
enum class HeadAction {
    Accept,
    /** The response belongs to another request: discard it and wait for the next one. */
    Skip,
};

/** Callbacks for one response, called in the order of the members. */
struct ResponseHandlers
{
    std::function<HeadAction(const ResponseHead &)> onHead;
    std::function<void(std::string_view)> onBody;
    /** Called once, unless close() is called first. */
    std::function<void(const ResponseEnd &)> onEnd;
};

/**
 * A persistent HTTP/1.1 connection to a server, for one request at a time. Never sends a request twice.
 *
 * Bytes that arrive while no request is in progress, and bytes after the end of a response, end the connection. So do
 * responses that exceed the limits on their head, on interim responses and on responses to earlier requests.
 */
class ClientConnection : public std::enable_shared_from_this<ClientConnection>
{
public:
    /** Receives the connection, or an error message. */
    using ConnectHandler = std::function<void(std::variant<std::shared_ptr<ClientConnection>, std::string>)>;

    /**
     * Opens a connection.
     *
     * @param context runs the connection, on one thread
     * @param address address of the server
     * @param timeout maximum time to connect
     * @param peerTimeout maximum time that sent bytes may stay unacknowledged, and that an open connection may stay
     *                     without a sign of life from the server's TCP stack
     * @param onDone called exactly once
     */
    static void connect(boost::asio::io_context &context, const wire::Address &address, base::Milliseconds timeout,
                        base::Milliseconds peerTimeout, ConnectHandler onDone);

    ~ClientConnection();

    /**
     * Sends a request.
     *
     * @param request bytes of the request, head and body
     * @param isHeadRequest whether this is a HEAD request, whose response never has a body
     * @param handlers callbacks for the response
     */
    void send(std::string request, bool isHeadRequest, ResponseHandlers handlers);

    /** Closes the connection. No handler is called afterwards. */
    void close();

    /** @param onClosed called when the server ends the connection while no request is in progress */
    void setIdleCloseHandler(std::function<void()> onClosed);

    /** @return whether another request may be sent */
    bool isReusable() const;

    /** @return whether the current request is not the first one, so that a response may belong to an earlier one */
    bool isReused() const;

private:
    class Private;
    explicit ClientConnection(std::unique_ptr<Private> state);

    void awaitResponse();
    void readMore();
    void headReceived();
    void bodyReceived();
    void responseEnded();
    void fail(Ending ending);
    void watchIdle();

    std::unique_ptr<Private> d;
};

}
