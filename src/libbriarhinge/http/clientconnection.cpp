#include "http/clientconnection.h"

#include "http/responseparser.h"
#include "http/socketoptions.h"

#include <array>
#include <optional>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>

namespace briarhinge::http
{

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using boost::system::error_code;

namespace
{

constexpr std::uint64_t bodyLimitBytes = std::uint64_t{64} * 1024 * 1024;
/** Responses to earlier requests that are discarded while the response to the current one is awaited. */
constexpr int maxSkippedResponses = 4;
constexpr std::size_t maxSkippedBytes = std::size_t{1024} * 1024;

}

class ClientConnection::Private
{
public:
    explicit Private(tcp::socket connected)
        : socket(std::move(connected))
        , input(readAheadBytes)
    {
    }

    bool isReset()
    {
        return hasSendFailed || http::isReset(socket);
    }

    tcp::socket socket;
    beast::flat_buffer input;
    std::optional<ResponseParser> parser;
    std::array<char, bodyPieceBytes> piece{};
    std::string request;
    ResponseHandlers handlers;
    std::function<void()> onIdleClosed;
    std::size_t sentRequests = 0;
    int interimResponses = 0;
    int skippedResponses = 0;
    std::size_t skippedBytes = 0;
    bool isHeadRequest = false;
    bool isHeadReported = false;
    bool isSkipping = false;
    bool isSending = false;
    bool hasSendFailed = false;
    bool isBusy = false;
    bool isWatchingIdle = false;
    bool isReusable = true;
    bool isClosed = false;
};

void ClientConnection::connect(asio::io_context &context, const wire::Address &address, base::Milliseconds timeout,
                               base::Milliseconds peerTimeout, ConnectHandler onDone)
{
    struct Attempt
    {
        tcp::socket socket;
        asio::steady_timer timer;
    };
    auto attempt = std::make_shared<Attempt>(Attempt{tcp::socket(context), asio::steady_timer(context, timeout)});
    error_code error;
    const tcp::endpoint endpoint(asio::ip::make_address(address.host, error), address.port);
    if (error) {
        onDone("\"" + address.host + "\" is not an IP address");
        return;
    }
    attempt->timer.async_wait([attempt](error_code cancelled) {
        if (!cancelled) {
            error_code ignored;
            attempt->socket.close(ignored);
        }
    });
    attempt->socket.async_connect(endpoint, [attempt, peerTimeout, onDone = std::move(onDone)](error_code failed) {
        attempt->timer.cancel();
        if (failed || !attempt->socket.is_open()) {
            onDone(failed ? failed.message() : std::string("timed out"));
            return;
        }
        setConnectionOptions(attempt->socket, peerTimeout);
        auto state = std::make_unique<Private>(std::move(attempt->socket));
        onDone(std::shared_ptr<ClientConnection>(new ClientConnection(std::move(state))));
    });
}

ClientConnection::ClientConnection(std::unique_ptr<Private> state)
    : d(std::move(state))
{
}

ClientConnection::~ClientConnection() = default;

void ClientConnection::send(std::string request, bool isHeadRequest, ResponseHandlers handlers)
{
    d->request = std::move(request);
    d->handlers = std::move(handlers);
    d->isHeadRequest = isHeadRequest;
    d->isBusy = true;
    d->isSending = true;
    ++d->sentRequests;
    if (d->isWatchingIdle) {
        // Cancels the wait for the server to close the idle connection; the parser reads from now on.
        error_code ignored;
        d->socket.cancel(ignored);
    }
    asio::async_write(d->socket, asio::buffer(d->request), [self = shared_from_this()](error_code error, std::size_t) {
        self->d->isSending = false;
        self->d->request = {};
        // The pending read reports the response or the end of the connection.
        if (error) {
            self->d->isReusable = false;
            self->d->hasSendFailed = true;
        }
    });
    d->interimResponses = 0;
    d->skippedResponses = 0;
    d->skippedBytes = 0;
    awaitResponse();
}

void ClientConnection::awaitResponse()
{
    d->parser.emplace();
    d->isHeadReported = false;
    readMore();
}

void ClientConnection::readMore()
{
    ResponseParser &parser = *d->parser;
    if (!d->isHeadReported) {
        parser.header_limit(headLimitBytes);
        parser.body_limit(bodyLimitBytes);
        parser.skip(d->isHeadRequest);
    }
    auto &body = parser.get().body();
    body.data = d->piece.data();
    body.size = d->piece.size();
    body.more = true;
    beast::http::async_read_some(d->socket, d->input, parser,
                                 [self = shared_from_this()](error_code error, std::size_t) {
                                     if (self->d->isClosed) {
                                         return;
                                     }
                                     if (error == beast::http::error::need_buffer) {
                                         error = {};
                                     }
                                     if (error) {
                                         self->fail(endingOf(error, self->d->isReset()));
                                         return;
                                     }
                                     self->headReceived();
                                 });
}

void ClientConnection::headReceived()
{
    const auto self = shared_from_this();
    ResponseParser &parser = *d->parser;
    if (!parser.is_header_done()) {
        readMore();
        return;
    }
    if (!d->isHeadReported) {
        const ResponseKind kind = kindOf(parser, d->interimResponses);
        if (kind == ResponseKind::Invalid) {
            fail(Ending::Invalid);
            return;
        }
        if (kind == ResponseKind::Interim) {
            awaitResponse();
            return;
        }
        d->isHeadReported = true;
        const ResponseHead head = headOf(parser);
        d->isReusable = d->isReusable && head.isKeepAlive;
        d->isSkipping = d->handlers.onHead(head) == HeadAction::Skip;
        if (d->isClosed) {
            return;
        }
        if (d->isSkipping && (!d->isReusable || ++d->skippedResponses > maxSkippedResponses)) {
            // The awaited response cannot follow on this connection, or is not going to.
            d->isHeadReported = false;
            fail(d->isReusable ? Ending::Invalid : Ending::Closed);
            return;
        }
    }
    bodyReceived();
}

void ClientConnection::bodyReceived()
{
    const std::size_t size = d->piece.size() - d->parser->get().body().size;
    if (d->isSkipping) {
        d->skippedBytes += size;
        if (d->skippedBytes > maxSkippedBytes) {
            d->isHeadReported = false;
            fail(Ending::Invalid);
            return;
        }
    } else if (size > 0) {
        d->handlers.onBody({d->piece.data(), size});
    }
    if (d->isClosed) {
        return;
    }
    if (!d->parser->is_done()) {
        readMore();
        return;
    }
    if (d->isSkipping) {
        awaitResponse();
        return;
    }
    responseEnded();
}

void ClientConnection::responseEnded()
{
    const bool hasSurplus = d->input.size() > 0;
    // A server may respond before it has read the whole request; on a reused connection, it would take the rest for
    // another request.
    if (hasSurplus || d->isSending) {
        d->isReusable = false;
    }
    d->isBusy = false;
    const Framing framing = framingOf(*d->parser, d->isHeadRequest);
    const Ending ending = framing == Framing::UntilClose ? endingOf(asio::error::eof, d->isReset()) : Ending::Delimited;
    const ResponseEnd end{true, framing, ending};
    const auto onEnd = std::exchange(d->handlers, {}).onEnd;
    if (d->isReusable) {
        watchIdle();
    } else {
        close();
    }
    onEnd(end);
}

void ClientConnection::fail(Ending ending)
{
    const Framing framing = d->isHeadReported ? framingOf(*d->parser, d->isHeadRequest) : Framing::None;
    const ResponseEnd end{d->isHeadReported, framing, ending};
    const auto handlers = std::exchange(d->handlers, {});
    close();
    if (handlers.onEnd) {
        handlers.onEnd(end);
    }
}

void ClientConnection::watchIdle()
{
    d->isWatchingIdle = true;
    d->socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
        self->d->isWatchingIdle = false;
        if (error || self->d->isClosed || self->d->isBusy) {
            return;
        }
        self->close();
        if (const auto onClosed = std::exchange(self->d->onIdleClosed, nullptr)) {
            onClosed();
        }
    });
}

void ClientConnection::close()
{
    if (d->isClosed) {
        return;
    }
    d->isClosed = true;
    d->isReusable = false;
    d->handlers = {};
    error_code ignored;
    d->socket.close(ignored);
}

void ClientConnection::setIdleCloseHandler(std::function<void()> onClosed)
{
    d->onIdleClosed = std::move(onClosed);
}

bool ClientConnection::isReused() const
{
    return d->sentRequests > 1;
}

bool ClientConnection::isReusable() const
{
    return d->isReusable && !d->isBusy && !d->isClosed;
}

}
