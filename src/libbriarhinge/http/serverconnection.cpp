#include "http/serverconnection.h"

#include "http/socketoptions.h"
#include "http/transfercoding.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace briarhinge::http
{

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using boost::system::error_code;

namespace
{

using Parser = beast::http::request_parser<beast::http::string_body>;

/** Holds the largest head that a routing may allow, and what a caller pipelines. */
constexpr std::size_t inputBufferBytes = std::size_t{256} * 1024;
/** Limits how much of the next request is read while the current one is being answered. */
constexpr std::size_t maxReadAhead = std::size_t{32} * 1024;
/** Read size; a typical turn fits. */
constexpr std::size_t readBytes = 4096;
/** Time for the caller to read the last response before the connection is closed. */
constexpr base::Milliseconds lingerTimeout{1000};
/** Largest line of a chunk, or block of trailers, that is received. */
constexpr std::size_t maxFramingBytes = std::size_t{16} * 1024;
constexpr unsigned statusBadRequest = 400;
constexpr unsigned statusTimeout = 408;
constexpr unsigned statusTooLarge = 413;
constexpr unsigned statusHeadTooLarge = 431;
constexpr unsigned statusNotImplemented = 501;
constexpr unsigned statusUnavailable = 503;
/** The first version with transfer codings. */
constexpr unsigned firstVersionWithCodings = 11;
/** Memory of a connection besides its buffers. */
constexpr std::size_t connectionBytes = 4096;
/** Input buffer that a connection keeps while it is idle. */
constexpr std::size_t idleInputBytes = std::size_t{8} * 1024;
/** Unsent output from which a caller that has stalled is taken not to read its response. */
constexpr std::size_t unreadOutputBytes = std::size_t{64} * 1024;
/** Time after which a request that found no room may be repeated: stalled ones have given way by then. */
constexpr std::chrono::seconds retryDelay{1};

std::string encodeHead(const OutgoingResponseHead &head, bool isKeepAlive)
{
    std::string text = "HTTP/1.1 " + std::to_string(head.status) + ' ';
    const auto reason = beast::http::obsolete_reason(static_cast<beast::http::status>(head.status));
    text.append(reason.data(), reason.size());
    text += "\r\n";
    for (const auto &[name, value] : head.headers.fields()) {
        text += name;
        text += ": ";
        text += value;
        text += "\r\n";
    }
    if (!isKeepAlive) {
        text += "Connection: close\r\n";
    }
    return text;
}

std::string_view toText(beast::string_view text)
{
    return {text.data(), text.size()};
}

/** @return the size of the body that a request announces, if it does */
std::optional<std::uint64_t> announcedBytes(const Parser &parser)
{
    const std::string_view text = toText(parser.get()[beast::http::field::content_length]);
    std::uint64_t bytes = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), bytes);
    return text.empty() || error != std::errc() ? std::nullopt : std::optional(bytes);
}

/** @return the status of the refusal if the end of a request's body can't be told from its head */
std::optional<unsigned> framingFault(const Parser &parser)
{
    const TransferCoding coding = transferCodingOf(parser.get().base());
    if (coding == TransferCoding::None) {
        return std::nullopt;
    }
    if (coding == TransferCoding::Endless || parser.get().version() < firstVersionWithCodings) {
        return statusBadRequest;
    }
    return coding == TransferCoding::Unknown ? std::optional(statusNotImplemented) : std::nullopt;
}

/** @return memory of the part of a body that has arrived; what is only reserved has no pages yet */
std::size_t bodyBytes(const Parser &parser)
{
    const std::string &body = parser.get().body();
    return std::min(body.capacity(), 2 * body.size());
}

bool hasNoBody(unsigned status)
{
    constexpr unsigned noContent = 204;
    constexpr unsigned notModified = 304;
    return status == noContent || status == notModified;
}

}

class ServerConnection::Private
{
public:
    Private(tcp::socket connected, std::function<ServerLimits()> readLimits, const base::MemoryBudget &budget,
            RefusalFormat format, RequestHandler requestHandler, CloseHandler closeHandler)
        : socket(std::move(connected))
        , timer(socket.get_executor())
        , memory(budget)
        , input(inputBufferBytes)
        , currentLimits(std::move(readLimits))
        , refusalFormat(std::move(format))
        , onRequest(std::move(requestHandler))
        , onClose(std::move(closeHandler))
    {
        error_code ignored;
        socket.non_blocking(true, ignored);
    }

    tcp::socket socket;
    asio::steady_timer timer;
    base::MemoryBudget::Share memory;
    beast::flat_buffer input;
    std::optional<Parser> parser;
    std::function<ServerLimits()> currentLimits;
    ServerLimits limits;
    RefusalFormat refusalFormat;
    RequestHandler onRequest;
    CloseHandler onClose;
    std::function<void()> onDisconnect;
    std::string outgoing;
    std::string writing;
    /** Size of the request that is being handled. */
    std::size_t requestBytes = 0;
    Time stateSince;
    std::size_t requestCount = 0;
    bool isKeepAlive = true;
    bool isHeadRequest = false;
    bool isBusy = false;
    bool isReading = false;
    /** Whether a part of the next request has been received. */
    bool hasPartialRequest = false;
    bool hasHead = false;
    bool isResponseEnded = false;
    bool isCloseRequested = false;
    /** Whether the last response has been given; further input is read and discarded. */
    bool isDiscarding = false;
    /** Whether the rest of the response is not sent since the caller does not read it. */
    bool isAbandoned = false;
    /** When others may take the memory of the connection back; empty for never. */
    std::optional<base::MemoryBudget::Reclaim> reclaim;
    bool isClosed = false;
};

OutgoingResponse plainRefusal(const RefusedRequest &request)
{
    OutgoingResponse response{{request.status, {}}, {}};
    if (request.retryDelay) {
        response.head.headers.add("Retry-After", std::to_string(request.retryDelay->count()));
    }
    return response;
}

ServerConnection::ServerConnection(tcp::socket socket, std::function<ServerLimits()> limits,
                                   const base::MemoryBudget &memory, RefusalFormat refusalFormat,
                                   RequestHandler onRequest, CloseHandler onClose)
    : d(std::make_unique<Private>(std::move(socket), std::move(limits), memory, std::move(refusalFormat),
                                  std::move(onRequest), std::move(onClose)))
{
}

ServerConnection::~ServerConnection() = default;

void ServerConnection::start()
{
    setConnectionOptions(d->socket, d->currentLimits().peerTimeout);
    awaitRequest();
    if (!accountMemory()) {
        closeNow();
        return;
    }
    readMore();
}

void ServerConnection::setDisconnectHandler(std::function<void()> onDisconnect)
{
    d->onDisconnect = std::move(onDisconnect);
}

bool ServerConnection::isBusy() const
{
    return d->isBusy;
}

ConnectionState ServerConnection::state() const
{
    if (d->isDiscarding) {
        return ConnectionState::Closing;
    }
    if (d->isBusy) {
        const bool isUnread = unsentBytes() >= unreadOutputBytes && d->memory.isStalled();
        return isUnread ? ConnectionState::Unread : ConnectionState::Busy;
    }
    if (d->hasPartialRequest) {
        return ConnectionState::Receiving;
    }
    return d->requestCount == 0 ? ConnectionState::Unused : ConnectionState::Idle;
}

ServerConnection::Executor ServerConnection::executor()
{
    return d->socket.get_executor();
}

ServerConnection::Time ServerConnection::stateSince() const
{
    return d->stateSince;
}

void ServerConnection::enterState()
{
    d->stateSince = std::chrono::steady_clock::now();
    updateReclaimHandler();
}

void ServerConnection::giveWay()
{
    const auto self = shared_from_this();
    switch (state()) {
    case ConnectionState::Busy:
        if (!d->writing.empty()) {
            abandonResponse();
        }
        return;
    case ConnectionState::Receiving:
        refuse(statusUnavailable);
        return;
    case ConnectionState::Unread:
        abandonResponse();
        return;
    case ConnectionState::Closing:
    case ConnectionState::Unused:
    case ConnectionState::Idle:
        closeNow();
        return;
    }
}

void ServerConnection::abandonResponse()
{
    d->isAbandoned = true;
    d->outgoing = {};
    d->memory.clearReclaimHandler();
    d->memory.clear();
    // The sender of the response may be on the stack, and is told that the caller has disconnected.
    asio::post(d->socket.get_executor(), [self = shared_from_this()] {
        self->closeNow();
    });
}

std::size_t ServerConnection::unsentBytes() const
{
    return d->writing.size() + d->outgoing.size();
}

bool ServerConnection::accountMemory()
{
    return d->isAbandoned
        || d->memory.resize(connectionBytes + d->input.capacity() + (d->parser ? bodyBytes(*d->parser) : 0)
                            + d->requestBytes + d->outgoing.size() + d->writing.size());
}

void ServerConnection::updateReclaimHandler()
{
    if (d->isClosed || d->isAbandoned) {
        return;
    }
    std::optional<base::MemoryBudget::Reclaim> reclaim;
    if (!d->isBusy) {
        reclaim = base::MemoryBudget::Reclaim::Anytime;
    } else if (unsentBytes() > 0) {
        reclaim = base::MemoryBudget::Reclaim::OnlyStalled;
    }
    if (reclaim == d->reclaim) {
        return;
    }
    d->reclaim = reclaim;
    if (reclaim) {
        d->memory.setReclaimHandler(*reclaim, [this] {
            giveWay();
        });
    } else {
        d->memory.clearReclaimHandler();
    }
}

void ServerConnection::startTimer(base::Milliseconds limit, bool isExtension)
{
    d->timer.expires_after(limit);
    d->timer.async_wait([self = shared_from_this(), limit, isExtension](error_code error) {
        // When the timer is restarted, its previous expiry may already be queued.
        const bool isStale = self->d->timer.expiry() > std::chrono::steady_clock::now();
        if (error || isStale || self->d->isClosed || self->d->isBusy) {
            return;
        }
        error_code ignored;
        if (!isExtension && self->d->socket.available(ignored) > 0) {
            // The caller may have sent in time; this process was too late to read it.
            self->startTimer(limit, true);
            return;
        }
        if (self->d->hasPartialRequest) {
            self->refuse(statusTimeout);
        } else {
            self->closeNow();
        }
    });
}

void ServerConnection::awaitRequest()
{
    d->limits = d->currentLimits();
    d->parser.emplace();
    d->parser->eager(true);
    d->parser->header_limit(d->limits.maxHeadBytes);
    d->parser->body_limit(d->limits.maxBodyBytes);
    d->isResponseEnded = false;
    d->hasPartialRequest = false;
    d->hasHead = false;
    enterState();
    startTimer(d->limits.idleTimeout);
}

void ServerConnection::readMore()
{
    const bool isFull = d->isBusy && d->input.size() >= maxReadAhead;
    if (d->isReading || d->isClosed || isFull) {
        return;
    }
    if (d->input.size() == 0 && d->input.capacity() > idleInputBytes) {
        d->input.shrink_to_fit();
    }
    d->isReading = true;
    d->socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
        self->d->isReading = false;
        if (!error && !self->d->isClosed) {
            self->readAvailable();
        }
    });
}

void ServerConnection::readAvailable()
{
    // The memory for a read moves when input is parsed, so no read may be pending meanwhile.
    error_code error;
    const std::size_t size = d->socket.read_some(d->input.prepare(readBytes), error);
    if (error && error != asio::error::would_block) {
        closeNow();
        return;
    }
    if (!d->isDiscarding) {
        d->input.commit(size);
        parseInput();
    }
    readMore();
}

void ServerConnection::parseInput()
{
    // Input that arrives while a request is being answered belongs to the next request.
    while (!d->isBusy && !d->isClosed && d->input.size() > 0) {
        if (!d->hasPartialRequest) {
            d->hasPartialRequest = true;
            enterState();
            startTimer(d->limits.headTimeout);
        }
        error_code error;
        d->input.consume(d->parser->put(d->input.data(), error));
        if (!accountMemory()) {
            refuse(statusUnavailable);
            return;
        }
        if (d->parser->is_header_done() && !std::exchange(d->hasHead, true)) {
            if (const auto status = framingFault(*d->parser)) {
                refuse(*status);
                return;
            }
            startTimer(d->limits.bodyTimeout);
            if (!error || error == beast::http::error::need_more) {
                sendContinue();
            }
        }
        if (error == beast::http::error::need_more) {
            if (!isWithinBuffer()) {
                refuse(d->parser->is_header_done() ? statusTooLarge : statusHeadTooLarge);
            }
            return;
        }
        if (error == beast::http::error::header_limit) {
            refuse(statusHeadTooLarge);
        } else if (error == beast::http::error::body_limit) {
            refuse(statusTooLarge);
        } else if (error) {
            refuse(statusBadRequest);
        } else if (d->parser->is_done()) {
            requestReceived();
        }
    }
}

bool ServerConnection::isWithinBuffer() const
{
    // The parser leaves only what is incomplete: a part of the head, a chunk's line with its extensions, or trailers.
    const std::size_t left = d->input.size();
    return left + readBytes <= inputBufferBytes && (!d->parser->is_header_done() || left <= maxFramingBytes);
}

void ServerConnection::requestReceived()
{
    d->timer.cancel();
    d->isBusy = true;
    ++d->requestCount;
    enterState();
    d->onDisconnect = nullptr;
    IncomingRequest request;
    auto message = d->parser->release();
    d->parser.reset();
    d->isKeepAlive = message.keep_alive();
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.isKeepAlive = d->isKeepAlive;
    d->isHeadRequest = request.method == "HEAD";
    for (const auto &field : message) {
        request.headers.add(std::string(field.name_string()), std::string(field.value()));
    }
    request.body = std::move(message.body());
    d->requestBytes = request.body.capacity();
    d->onRequest(shared_from_this(), std::move(request));
}

void ServerConnection::refuse(unsigned status)
{
    RefusedRequest refused{status, announcedBytes(*d->parser), std::nullopt};
    if (status == statusUnavailable) {
        refused.retryDelay = retryDelay;
    }
    d->isBusy = true;
    d->isKeepAlive = false;
    d->isHeadRequest = false;
    d->parser.reset();
    enterState();
    const OutgoingResponse response = d->refusalFormat(refused);
    respond(response.head, response.body);
}

void ServerConnection::sendContinue()
{
    if (!d->parser->is_done()
        && isSameFieldName(toText(d->parser->get()[beast::http::field::expect]), "100-continue")) {
        write("HTTP/1.1 100 Continue\r\n\r\n");
    }
}

void ServerConnection::respond(const OutgoingResponseHead &head, std::string_view body)
{
    if (d->isClosed) {
        return;
    }
    std::string bytes = encodeHead(head, d->isKeepAlive && !d->isCloseRequested);
    if (!hasNoBody(head.status)) {
        bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    bytes += "\r\n";
    if (!d->isHeadRequest) {
        bytes += body;
    }
    d->isResponseEnded = true;
    write(std::move(bytes));
}

void ServerConnection::beginResponse(const OutgoingResponseHead &head)
{
    if (d->isClosed) {
        return;
    }
    write(encodeHead(head, d->isKeepAlive && !d->isCloseRequested) + "Transfer-Encoding: chunked\r\n\r\n");
}

void ServerConnection::sendChunk(std::string_view chunk)
{
    if (d->isClosed) {
        return;
    }
    std::array<char, 2 * sizeof(std::size_t)> digits{};
    std::size_t left = chunk.size();
    std::size_t first = digits.size();
    while (left > 0) {
        digits[--first] = "0123456789abcdef"[left % 16];
        left /= 16;
    }
    std::string bytes(&digits[first], digits.size() - first);
    bytes += "\r\n";
    bytes += chunk;
    bytes += "\r\n";
    write(std::move(bytes));
}

void ServerConnection::endResponse()
{
    if (d->isClosed) {
        return;
    }
    d->isResponseEnded = true;
    write("0\r\n\r\n");
}

void ServerConnection::write(std::string bytes)
{
    if (d->isAbandoned) {
        return;
    }
    if (d->outgoing.empty()) {
        d->outgoing = std::move(bytes);
    } else {
        d->outgoing += bytes;
    }
    if (d->writing.empty()) {
        writeNext();
    }
    if (!accountMemory() && unsentBytes() >= unreadOutputBytes) {
        abandonResponse();
    }
    updateReclaimHandler();
}

void ServerConnection::writeNext()
{
    d->writing = std::exchange(d->outgoing, {});
    asio::async_write(d->socket, asio::buffer(d->writing), [self = shared_from_this()](error_code error, std::size_t) {
        self->d->writing.clear();
        if (self->d->isClosed) {
            return;
        }
        if (error) {
            self->closeNow();
            return;
        }
        self->accountMemory();
        self->updateReclaimHandler();
        if (!self->d->outgoing.empty()) {
            self->writeNext();
        } else if (self->d->isResponseEnded) {
            self->responseSent();
        }
    });
}

void ServerConnection::responseSent()
{
    d->isBusy = false;
    d->onDisconnect = nullptr;
    d->requestBytes = 0;
    accountMemory();
    if (!d->isKeepAlive || d->isCloseRequested) {
        closeGracefully();
        return;
    }
    awaitRequest();
    parseInput();
    readMore();
}

void ServerConnection::closeGracefully()
{
    // Closing a socket with unread input resets the connection, which may destroy the response in transit.
    d->isDiscarding = true;
    d->isCloseRequested = true;
    d->input.clear();
    enterState();
    error_code ignored;
    d->socket.shutdown(tcp::socket::shutdown_send, ignored);
    d->timer.expires_after(lingerTimeout);
    d->timer.async_wait([self = shared_from_this()](error_code error) {
        if (!error) {
            self->closeNow();
        }
    });
    readMore();
}

void ServerConnection::closeAfterResponse()
{
    d->isCloseRequested = true;
}

void ServerConnection::closeWhenIdle()
{
    d->isCloseRequested = true;
    if (!d->isBusy && !d->isClosed && !d->isDiscarding && !d->hasPartialRequest) {
        closeNow();
    }
}

void ServerConnection::abort()
{
    d->onDisconnect = nullptr;
    closeNow();
}

void ServerConnection::closeNow()
{
    if (d->isClosed) {
        return;
    }
    d->isClosed = true;
    const auto self = shared_from_this();
    error_code ignored;
    d->timer.cancel();
    d->socket.close(ignored);
    d->memory.clearReclaimHandler();
    d->memory.clear();
    if (const auto onDisconnect = std::exchange(d->onDisconnect, nullptr); onDisconnect && d->isBusy) {
        onDisconnect();
    }
    if (const auto onClose = std::exchange(d->onClose, nullptr)) {
        onClose(self);
    }
}

}
