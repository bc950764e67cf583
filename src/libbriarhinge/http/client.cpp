#include "http/client.h"

#include "http/responseparser.h"
#include "http/socketoptions.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <concepts>
#include <future>
#include <optional>
#include <thread>
#include <unordered_set>
#include <utility>
#include <vector>

#include <boost/asio/connect.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/ssl.hpp>
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

using PlainStream = tcp::socket;
using TlsStream = asio::ssl::stream<tcp::socket>;

template <class T>
concept ClientStream = std::same_as<T, PlainStream> || std::same_as<T, TlsStream>;

constexpr std::size_t maxIdleConnections = 8;
/** Time without a sign of life from the service's TCP stack after which a connection ends. */
constexpr base::Milliseconds peerTimeout{10'000};

/** The parts of the URL of a service. */
struct ServiceUrl
{
    bool isEncrypted = false;
    std::string host;
    std::string port;
    /** Path without a slash at its end. */
    std::string path;
};

ServiceUrl parseUrl(std::string_view url)
{
    constexpr std::string_view plainScheme = "http://";
    constexpr std::string_view encryptedScheme = "https://";
    ServiceUrl parsed;
    parsed.isEncrypted = url.starts_with(encryptedScheme);
    parsed.port = parsed.isEncrypted ? "443" : "80";
    if (parsed.isEncrypted || url.starts_with(plainScheme)) {
        url.remove_prefix(parsed.isEncrypted ? encryptedScheme.size() : plainScheme.size());
    }
    const std::size_t slash = url.find('/');
    std::string_view authority = url.substr(0, slash);
    if (slash != std::string_view::npos) {
        parsed.path = url.substr(slash);
        parsed.path.erase(parsed.path.find_last_not_of('/') + 1);
    }
    const std::size_t bracket = authority.rfind(']');
    const std::size_t colon = authority.rfind(':');
    if (colon != std::string_view::npos && (bracket == std::string_view::npos || bracket < colon)) {
        parsed.port = authority.substr(colon + 1);
        authority = authority.substr(0, colon);
    }
    if (authority.starts_with('[') && authority.ends_with(']')) {
        authority = authority.substr(1, authority.size() - 2);
    }
    parsed.host = authority;
    return parsed;
}

tcp::socket &socketOf(PlainStream &stream)
{
    return stream;
}

tcp::socket &socketOf(TlsStream &stream)
{
    return stream.next_layer();
}

/** @return whether an idle connection is still open and has received nothing that nobody asked for */
template <ClientStream Stream>
bool isQuiet(Stream &stream)
{
    tcp::socket &socket = socketOf(stream);
    error_code error;
    socket.non_blocking(true, error);
    std::array<char, 1> byte{};
    socket.receive(asio::buffer(byte), tcp::socket::message_peek, error);
    return error == asio::error::would_block;
}

}

class Client::Private
{
public:
    Private(const std::string &serviceUrl, const ClientLimits &callLimits, Reuse connectionReuse)
        : url(parseUrl(serviceUrl))
        , limits(callLimits)
        , reuse(connectionReuse)
        , tls(asio::ssl::context::tls_client)
        , work(context.get_executor())
        , thread([this] {
            context.run();
        })
    {
        tls.set_verify_mode(asio::ssl::verify_peer);
        error_code ignored;
        tls.set_default_verify_paths(ignored);
    }

    ~Private()
    {
        context.stop();
        thread.join();
    }

    Private(const Private &) = delete;
    Private &operator=(const Private &) = delete;

    template <ClientStream Stream>
    std::vector<std::shared_ptr<Stream>> &idleStreams()
    {
        if constexpr (std::same_as<Stream, TlsStream>) {
            return idleTls;
        } else {
            return idlePlain;
        }
    }

    template <ClientStream Stream>
    std::shared_ptr<Stream> takeIdle()
    {
        auto &idle = idleStreams<Stream>();
        while (!idle.empty()) {
            const auto stream = std::move(idle.back());
            idle.pop_back();
            if (isQuiet(*stream)) {
                return stream;
            }
        }
        return nullptr;
    }

    template <ClientStream Stream>
    void keep(std::shared_ptr<Stream> stream)
    {
        auto &idle = idleStreams<Stream>();
        if (reuse == Reuse::Keep && idle.size() < maxIdleConnections) {
            idle.push_back(std::move(stream));
        }
    }

    std::shared_ptr<ClientCall> start(ClientRequest request, CallHandlers handlers, base::Milliseconds timeout);

    const ServiceUrl url;
    const ClientLimits limits;
    const Reuse reuse;
    asio::io_context context{1};
    asio::ssl::context tls;
    std::vector<std::shared_ptr<PlainStream>> idlePlain;
    std::vector<std::shared_ptr<TlsStream>> idleTls;
    asio::executor_work_guard<asio::io_context::executor_type> work;
    std::thread thread;

private:
    template <ClientStream Stream>
    std::shared_ptr<ClientCall> startOn(ClientRequest request, CallHandlers handlers, base::Milliseconds timeout);
};

namespace
{

/** One call on one kind of connection. Runs on the client's thread. */
template <ClientStream Stream, class Owner>
class StreamCall final : public ClientCall, public std::enable_shared_from_this<StreamCall<Stream, Owner>>
{
public:
    StreamCall(Owner &owner, ClientRequest request, CallHandlers handlers, base::Milliseconds timeout)
        : m_owner(owner)
        , m_isRepeatable(request.method == "GET")
        , m_isHeadRequest(request.method == "HEAD")
        , m_handlers(std::move(handlers))
        , m_timeout(timeout)
        , m_timer(owner.context)
        , m_resolver(owner.context)
        , m_input(readAheadBytes)
    {
        m_bytes = request.method + ' ' + owner.url.path + request.target + " HTTP/1.1\r\nHost: " + owner.url.host + ':'
            + owner.url.port + "\r\n";
        if (owner.reuse == Client::Reuse::Never) {
            m_bytes += "Connection: close\r\n";
        }
        if (!request.contentType.empty()) {
            m_bytes += "Content-Type: " + request.contentType + "\r\n";
        }
        if (!request.body.empty() || request.method != "GET") {
            m_bytes += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
        }
        m_bytes += "\r\n" + request.body;
    }

    void start()
    {
        restartTimer();
        m_stream = m_owner.template takeIdle<Stream>();
        m_isReused = m_stream != nullptr;
        if (m_isReused) {
            write();
        } else {
            connect();
        }
    }

    void cancel() override
    {
        asio::post(m_owner.context, [self = this->shared_from_this()] {
            self->fail(Ending::Lost, "cancelled");
        });
    }

private:
    /** Calls @p step with the arguments of an asynchronous operation, unless the call has ended meanwhile. */
    template <class Step>
    auto unlessEnded(Step step)
    {
        return [self = this->shared_from_this(), step = std::move(step)](error_code error, const auto &...results) {
            if (!self->m_isEnded) {
                step(*self, error, results...);
            }
        };
    }

    void restartTimer()
    {
        m_timer.expires_after(m_timeout);
        m_timer.async_wait(unlessEnded([](StreamCall &call, error_code error) {
            if (!error) {
                call.fail(Ending::Lost, "timed out");
            }
        }));
    }

    void connect()
    {
        if constexpr (std::same_as<Stream, TlsStream>) {
            m_stream = std::make_shared<Stream>(m_owner.context, m_owner.tls);
        } else {
            m_stream = std::make_shared<Stream>(m_owner.context);
        }
        m_resolver.async_resolve(
            m_owner.url.host, m_owner.url.port,
            unlessEnded([](StreamCall &call, error_code error, const tcp::resolver::results_type &endpoints) {
                if (error) {
                    call.fail(Ending::Lost, "can't resolve the host: " + error.message());
                    return;
                }
                asio::async_connect(socketOf(*call.m_stream), endpoints,
                                    call.unlessEnded([](StreamCall &connected, error_code failed, const auto &) {
                                        if (failed) {
                                            connected.fail(Ending::Lost, "can't connect: " + failed.message());
                                            return;
                                        }
                                        connected.encrypt();
                                    }));
            }));
    }

    void encrypt()
    {
        setConnectionOptions(socketOf(*m_stream), peerTimeout);
        if constexpr (std::same_as<Stream, TlsStream>) {
            m_stream->set_verify_callback(asio::ssl::host_name_verification(m_owner.url.host));
            SSL_set_tlsext_host_name(m_stream->native_handle(), m_owner.url.host.c_str());
            m_stream->async_handshake(asio::ssl::stream_base::client,
                                      unlessEnded([](StreamCall &call, error_code error) {
                                          if (error) {
                                              call.fail(Ending::Lost, "TLS: " + error.message());
                                              return;
                                          }
                                          call.write();
                                      }));
        } else {
            write();
        }
    }

    void write()
    {
        m_wasConnected = true;
        m_isWriting = true;
        asio::async_write(*m_stream, asio::buffer(m_bytes),
                          unlessEnded([](StreamCall &call, error_code error, std::size_t) {
                              call.m_isWriting = false;
                              // The pending read reports the response or the end of the connection.
                              call.m_hasWriteFailed = call.m_hasWriteFailed || error;
                          }));
        awaitResponse();
    }

    void awaitResponse()
    {
        m_parser.emplace();
        m_parser->header_limit(headLimitBytes);
        m_parser->body_limit(m_owner.limits.maxBodyBytes);
        m_parser->skip(m_isHeadRequest);
        m_hasHead = false;
        read();
    }

    void read()
    {
        auto &body = m_parser->get().body();
        body.data = m_piece.data();
        body.size = m_piece.size();
        body.more = true;
        beast::http::async_read_some(*m_stream, m_input, *m_parser,
                                     unlessEnded([](StreamCall &call, error_code error, std::size_t) {
                                         call.received(error);
                                     }));
    }

    void received(error_code error)
    {
        if (error && error != beast::http::error::need_buffer) {
            receiptFailed(error);
            return;
        }
        if (!m_parser->is_header_done()) {
            read();
            return;
        }
        if (!m_hasHead) {
            const ResponseKind kind = kindOf(*m_parser, m_interimResponses);
            if (kind == ResponseKind::Invalid) {
                fail(Ending::Invalid, "no valid response: status " + std::to_string(m_parser->get().result_int()));
                return;
            }
            if (kind == ResponseKind::Interim) {
                awaitResponse();
                return;
            }
            reportHead();
        }
        const std::size_t size = m_piece.size() - m_parser->get().body().size;
        if (size > 0 && m_handlers.onBody && m_handlers.onBody({m_piece.data(), size})) {
            restartTimer();
        }
        if (!m_parser->is_done()) {
            read();
            return;
        }
        responseEnded();
    }

    bool wasReset()
    {
        return m_hasWriteFailed || isReset(socketOf(*m_stream));
    }

    void receiptFailed(error_code error)
    {
        const Ending ending = endingOf(error, wasReset());
        const bool isStale = m_isReused && !m_parser->got_some() && ending != Ending::Invalid;
        if (isStale && m_isRepeatable) {
            m_isReused = false;
            m_stream.reset();
            m_input.clear();
            m_hasWriteFailed = false;
            connect();
            return;
        }
        fail(ending, error.message());
    }

    void reportHead()
    {
        m_hasHead = true;
        const ResponseHead head = headOf(*m_parser);
        m_isKept = m_isKept && head.isKeepAlive;
        if (m_handlers.onHead) {
            m_handlers.onHead(head);
        }
    }

    void responseEnded()
    {
        const Framing framing = framingOf(*m_parser, m_isHeadRequest);
        const Ending ending =
            framing == Framing::UntilClose ? endingOf(asio::error::eof, wasReset()) : Ending::Delimited;
        // A service may respond before it has read the whole request, and may send more than one response.
        if (m_isKept && !m_isWriting && !m_hasWriteFailed && m_input.size() == 0) {
            m_owner.keep(std::move(m_stream));
        }
        end({true, {true, framing, ending}, {}});
    }

    void fail(Ending ending, std::string reason)
    {
        if (m_isEnded) {
            return;
        }
        const Framing framing = m_hasHead ? framingOf(*m_parser, m_isHeadRequest) : Framing::None;
        end({m_wasConnected, {m_hasHead, framing, ending}, std::move(reason)});
    }

    void end(const CallEnd &result)
    {
        m_isEnded = true;
        m_timer.cancel();
        m_resolver.cancel();
        if (m_stream) {
            error_code ignored;
            socketOf(*m_stream).close(ignored);
        }
        const auto handlers = std::exchange(m_handlers, {});
        if (handlers.onEnd) {
            handlers.onEnd(result);
        }
    }

    Owner &m_owner;
    const bool m_isRepeatable;
    const bool m_isHeadRequest;
    CallHandlers m_handlers;
    const base::Milliseconds m_timeout;
    asio::steady_timer m_timer;
    tcp::resolver m_resolver;
    std::string m_bytes;
    std::shared_ptr<Stream> m_stream;
    beast::flat_buffer m_input;
    std::optional<ResponseParser> m_parser;
    std::array<char, bodyPieceBytes> m_piece{};
    int m_interimResponses = 0;
    bool m_wasConnected = false;
    bool m_isReused = false;
    bool m_isWriting = false;
    bool m_hasWriteFailed = false;
    bool m_isKept = true;
    bool m_hasHead = false;
    bool m_isEnded = false;
};

}

template <ClientStream Stream>
std::shared_ptr<ClientCall> Client::Private::startOn(ClientRequest request, CallHandlers handlers,
                                                     base::Milliseconds timeout)
{
    const auto call =
        std::make_shared<StreamCall<Stream, Private>>(*this, std::move(request), std::move(handlers), timeout);
    asio::post(context, [call] {
        call->start();
    });
    return call;
}

std::shared_ptr<ClientCall> Client::Private::start(ClientRequest request, CallHandlers handlers,
                                                   base::Milliseconds timeout)
{
    return url.isEncrypted ? startOn<TlsStream>(std::move(request), std::move(handlers), timeout)
                           : startOn<PlainStream>(std::move(request), std::move(handlers), timeout);
}

Client::Client(const std::string &url, const ClientLimits &limits, Reuse reuse)
    : d(std::make_unique<Private>(url, limits, reuse))
{
}

Client::~Client() = default;

std::shared_ptr<ClientCall> Client::send(ClientRequest request, CallHandlers handlers)
{
    return d->start(std::move(request), std::move(handlers), d->limits.timeout);
}

std::shared_ptr<ClientCall> Client::send(ClientRequest request, ResponseHandler onResponse, base::Milliseconds wait)
{
    const auto response = std::make_shared<ClientResponse>();
    CallHandlers handlers;
    handlers.onHead = [response](const ResponseHead &head) {
        response->head = head;
    };
    handlers.onBody = [response](std::string_view piece) {
        response->body += piece;
        return false;
    };
    handlers.onEnd = [response, onResponse = std::move(onResponse)](const CallEnd &end) {
        response->end = end;
        onResponse(*response);
    };
    return d->start(std::move(request), std::move(handlers), d->limits.timeout + wait);
}

ClientResponse Client::call(ClientRequest request, base::Milliseconds wait)
{
    std::promise<ClientResponse> ended;
    send(
        std::move(request),
        [&ended](ClientResponse &response) {
            ended.set_value(std::move(response));
        },
        wait);
    return ended.get_future().get();
}

}
