#pragma once

#include "base/units.h"
#include "http/headers.h"
#include "wire/address.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

#include <boost/asio/io_context.hpp>

namespace briarhinge::http
{

/** The head of an answer. */
struct ResponseHead
{
    unsigned status = 0;
    Headers headers;
    bool isKeptOpen = false;
};

/** How an exchange on a connection ended. */
enum class Ending {
    /** The whole answer has come. */
    Whole,
    /** The connection ended, or was ended, before the answer was whole. */
    BrokenOff,
    /** What came is no answer in the protocol. */
    Malformed,
};

/** What the user of a connection does with the head of an answer. */
enum class HeadVerdict {
    Take,
    /** It answers another request: drop it and wait for the next one. */
    Skip,
};

/** Told of the parts of one answer, in order. */
struct ResponseHandlers
{
    std::function<HeadVerdict(const ResponseHead &)> onHead;
    std::function<void(std::string_view)> onBody;
    /** Called once, unless the connection is closed by its user. */
    std::function<void(Ending)> onEnd;
};

/**
 * One HTTP/1.1 connection to a server, for one request after another. Never sends anything twice.
 *
 * Bytes that arrive while no request is under way, and bytes behind an answer, end the connection.
 */
class ClientConnection : public std::enable_shared_from_this<ClientConnection>
{
public:
    /** Gets the connection, or why there is none. */
    using ConnectHandler = std::function<void(std::variant<std::shared_ptr<ClientConnection>, std::string>)>;

    /**
     * Connects.
     *
     * @param context runs the connection, on one thread
     * @param address where to
     * @param timeout longest wait for the connection
     * @param silenceLimit longest time that sent bytes may stay unacknowledged, and an open connection without a sign of
     *                     the server's kernel
     * @param onDone called once
     */
    static void connect(boost::asio::io_context &context, const wire::Address &address, base::Milliseconds timeout,
                        base::Milliseconds silenceLimit, ConnectHandler onDone);

    ~ClientConnection();

    /**
     * Sends a request.
     *
     * @param request its bytes, head and body
     * @param isHead whether the answer has no body whatever its head says
     * @param handlers told of the answer
     */
    void send(std::string request, bool isHead, ResponseHandlers handlers);

    /** Closes the connection; the handlers are not called any more. */
    void close();

    /** @param onClosed called when the connection ends while no request is under way */
    void setIdleHandler(std::function<void()> onClosed);

    /** @return whether another request may be sent */
    bool isReusable() const;

private:
    class Private;
    explicit ClientConnection(std::unique_ptr<Private> state);

    void readMore();
    void headRead();
    void bodyRead();
    void answerEnded();
    void end(Ending ending);
    void watchIdle();

    std::unique_ptr<Private> d;
};

}
