#include "http/callerendpoint.h"

#include "api/json.h"
#include "http/listener.h"

#include <algorithm>
#include <atomic>
#include <charconv>
#include <map>
#include <optional>
#include <string_view>
#include <thread>
#include <utility>
#include <variant>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/thread_pool.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace briarhinge::http
{

namespace
{

namespace asio = boost::asio;

using Connection = std::shared_ptr<ServerConnection>;

constexpr unsigned statusOk = 200;
constexpr unsigned statusTooLarge = 413;
constexpr unsigned statusUnavailable = 503;
constexpr std::int64_t msPerSecond = 1000;
constexpr std::string_view operatorPath = "/v1/operator/";
constexpr std::string_view callersPath = "/v1/programs";
constexpr base::Milliseconds headTimeout{10'000};
constexpr base::Milliseconds bodyTimeout{30'000};
constexpr base::Milliseconds idleTimeout{120'000};

ServerLimits callerLimits()
{
    ServerLimits limits;
    limits.maxBodyBytes = api::maxBodyBytes;
    limits.headTimeout = headTimeout;
    limits.bodyTimeout = bodyTimeout;
    limits.idleTimeout = idleTimeout;
    return limits;
}

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

std::vector<std::string> splitPath(std::string_view path)
{
    std::vector<std::string> parts;
    while (!path.empty()) {
        const std::size_t end = std::min(path.find('/'), path.size());
        if (end > 0) {
            parts.emplace_back(path.substr(0, end));
        }
        path.remove_prefix(std::min(end + 1, path.size()));
    }
    return parts;
}

std::map<std::string, std::string> splitQuery(std::string_view query)
{
    std::map<std::string, std::string> values;
    while (!query.empty()) {
        const std::size_t end = std::min(query.find('&'), query.size());
        const std::string_view item = query.substr(0, end);
        const std::size_t equals = std::min(item.find('='), item.size());
        values[std::string(item.substr(0, equals))] = item.substr(std::min(equals + 1, item.size()));
        query.remove_prefix(std::min(end + 1, query.size()));
    }
    return values;
}

OutgoingResponse toResponse(const api::ClientReply &reply)
{
    OutgoingResponse response{{reply.status, {}}, reply.body};
    response.head.headers.add("Content-Type", "application/json");
    if (reply.retryAfter) {
        const std::int64_t seconds = (reply.retryAfter->count() + msPerSecond - 1) / msPerSecond;
        response.head.headers.add("Retry-After", std::to_string(seconds));
    }
    return response;
}

OutgoingResponse toResponse(const api::BadRequest &bad)
{
    return toResponse(api::toReply(bad));
}

OutgoingResponse refusalResponse(const RefusedRequest &request)
{
    if (request.status == statusTooLarge) {
        const std::string size = request.announcedBytes ? std::to_string(*request.announcedBytes) : std::string("more");
        return toResponse(api::BadRequest{
            "body-size", fmt::format("the body has {} bytes, must be at most {}", size, api::maxBodyBytes)});
    }
    if (request.retryDelay) {
        return toResponse(
            api::unavailableReply("no-room", "there is no room for the request; it was not run", *request.retryDelay));
    }
    return plainRefusal(request);
}

/** Sends the response to one request, from any thread. The methods must not be called concurrently. */
class Responder
{
public:
    /**
     * @param owner keeps the thread of the connection alive
     * @param connection the connection of the request
     */
    Responder(std::shared_ptr<void> owner, Connection connection)
        : m_owner(std::move(owner))
        , m_connection(std::move(connection))
    {
    }

    void respond(OutgoingResponse response) const
    {
        post([response = std::move(response)](ServerConnection &connection) {
            connection.respond(response.head, response.body);
        });
    }

    /** Sends a "chunk" event; the first one starts the response. */
    void sendChunk(std::uint64_t offset, const std::string &text)
    {
        if (!std::exchange(m_isStreaming, true)) {
            post([](ServerConnection &connection) {
                OutgoingResponseHead head{statusOk, {}};
                head.headers.add("Content-Type", "text/event-stream");
                head.headers.add("Cache-Control", "no-store");
                connection.beginResponse(head);
            });
        }
        const nlohmann::json data{{"offset", offset}, {"text", text}};
        sendEvent("chunk", data.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
    }

    /** Sends the final reply: as an "end" event if the response has started. */
    void reply(const api::ClientReply &reply) const
    {
        if (!m_isStreaming) {
            respond(toResponse(reply));
            return;
        }
        sendEvent("end", fmt::format("{{\"status\":{},\"body\":{}}}", reply.status, reply.body));
        post([](ServerConnection &connection) {
            connection.endResponse();
        });
    }

private:
    template <class Action>
    void post(Action action) const
    {
        asio::post(m_connection->executor(), [connection = m_connection, action = std::move(action)] {
            action(*connection);
        });
    }

    void sendEvent(std::string_view event, const std::string &data) const
    {
        post([text = fmt::format("event: {}\ndata: {}\n\n", event, data)](ServerConnection &connection) {
            connection.sendChunk(text);
        });
    }

    const std::shared_ptr<void> m_owner;
    const Connection m_connection;
    bool m_isStreaming = false;
};

std::string_view pathOf(const IncomingRequest &request)
{
    return std::string_view(request.target).substr(0, request.target.find('?'));
}

/** @return whether a request belongs to the interface for callers */
bool isForCallers(const IncomingRequest &request)
{
    return pathOf(request).starts_with(callersPath);
}

/** A request decoded from its path and query. */
struct Route
{
    api::ClientRequest request;
    bool stream = false;
};

std::variant<Route, api::BadRequest> parseRoute(const IncomingRequest &request)
{
    const std::string_view path = pathOf(request);
    const std::vector<std::string> parts = splitPath(path);
    const auto query =
        splitQuery(std::string_view(request.target).substr(std::min(path.size() + 1, request.target.size())));
    const bool isPost = request.method == "POST";
    const bool isGet = request.method == "GET";
    const api::BadRequest noSuchPath{"path-unknown",
                                     fmt::format("{} {} is not part of the interface", request.method, path)};
    Route route;
    if (parts.size() < 2 || parts[0] != "v1" || parts[1] != "programs") {
        return noSuchPath;
    }
    if (parts.size() == 2 && isPost) {
        route.request.verb = api::Verb::OpenProgram;
        return route;
    }
    if (parts.size() < 3 || !api::isValidId(parts[2])) {
        return noSuchPath;
    }
    route.request.program = base::ProgramId(parts[2]);
    if (parts.size() == 3 && (isGet || request.method == "DELETE")) {
        route.request.verb = isGet ? api::Verb::ReadProgram : api::Verb::EndProgram;
        return route;
    }
    if (parts.size() != 5 || parts[3] != "calls" || !(isGet || isPost)) {
        return noSuchPath;
    }
    const auto number = parseNumber(parts[4]);
    if (!number || *number == 0 || *number > UINT32_MAX) {
        return api::BadRequest{"call-number", fmt::format("the call number must be from 1, is \"{}\"", parts[4])};
    }
    route.request.verb = isPost ? api::Verb::MakeCall : api::Verb::ReadCall;
    route.request.number = base::CallNumber(static_cast<std::uint32_t>(*number));
    const auto offset = query.find("offset");
    if (offset != query.end()) {
        const auto parsed = parseNumber(offset->second);
        if (!parsed) {
            return api::BadRequest{"offset", fmt::format("\"offset\" must be a number, is \"{}\"", offset->second)};
        }
        route.request.offset = *parsed;
    }
    const auto stream = query.find("stream");
    route.stream = stream != query.end() && stream->second == "true";
    return route;
}

}

class CallerEndpoint::Private : public std::enable_shared_from_this<CallerEndpoint::Private>
{
public:
    Private(const wire::Address &address, const EndpointResources &resources, ProcessStatus status,
            api::ClientHandler handler, OperatorHandler operators)
        : m_address(address)
        , m_status(std::move(status))
        , m_handler(std::move(handler))
        , m_operators(std::move(operators))
        , m_memory(resources.machine.bufferBytes())
        , m_work(m_context.get_executor())
        , m_handlers(resources.threads)
        , m_listener(m_context, callerLimits, {m_memory, resources.machine.callerConnections(), refusalResponse},
                     [this](const Connection &connection, IncomingRequest request) {
                         receive(connection, std::move(request));
                     })
    {
    }

    std::string start()
    {
        std::string error = m_listener.listen(m_address);
        if (error.empty()) {
            m_thread = std::thread([this] {
                m_context.run();
            });
        }
        return error;
    }

    void stop()
    {
        if (m_thread.joinable()) {
            asio::post(m_context, [this] {
                m_listener.close();
                m_context.stop();
            });
            m_thread.join();
        }
        m_handlers.join();
    }

    std::size_t inProgress() const
    {
        return m_inProgress;
    }

private:
    void receive(const Connection &connection, IncomingRequest request)
    {
        // Counted here, so that a stopping process waits for requests that no thread has taken yet.
        m_inProgress += isForCallers(request) ? 1 : 0;
        asio::post(m_handlers,
                   [self = shared_from_this(), responder = std::make_shared<Responder>(shared_from_this(), connection),
                    request = std::move(request)]() mutable {
                       self->handleRequest(responder, std::move(request));
                   });
    }

    void handleRequest(const std::shared_ptr<Responder> &responder, IncomingRequest request)
    {
        const std::string_view path = pathOf(request);
        const bool isGet = request.method == "GET";
        if (isGet && path == "/metrics") {
            respondWithText(*responder, statusOk, m_status.metrics(), "text/plain; version=0.0.4");
        } else if (isGet && path == "/healthz") {
            respondWithText(*responder, statusOk, "ok\n", "text/plain");
        } else if (isGet && path == "/readyz") {
            const bool isReady = m_status.isReady();
            respondWithText(*responder, isReady ? statusOk : statusUnavailable, isReady ? "ready\n" : "not ready\n",
                            "text/plain");
        } else if (m_operators && path.starts_with(operatorPath)) {
            handleOperatorRequest(responder, request);
        } else {
            handleClientRequest(responder, std::move(request));
        }
    }

    static void respondWithText(const Responder &responder, unsigned status, std::string text, const char *type)
    {
        OutgoingResponse response{{status, {}}, std::move(text)};
        response.head.headers.add("Content-Type", type);
        responder.respond(std::move(response));
    }

    void handleOperatorRequest(const std::shared_ptr<Responder> &responder, const IncomingRequest &request)
    {
        OperatorRequest operatorRequest;
        operatorRequest.isPost = request.method == "POST";
        operatorRequest.path = splitPath(pathOf(request).substr(operatorPath.size()));
        m_operators(std::move(operatorRequest), [responder](const api::ClientReply &reply) {
            responder->reply(reply);
        });
    }

    void handleClientRequest(const std::shared_ptr<Responder> &responder, IncomingRequest request)
    {
        const std::size_t counted = isForCallers(request) ? 1 : 0;
        auto parsed = parseRoute(request);
        const auto *bad = std::get_if<api::BadRequest>(&parsed);
        const api::BadRequest noCallers{"no-callers", "this process takes no callers"};
        if (bad != nullptr || !m_handler) {
            responder->respond(toResponse(bad != nullptr ? *bad : noCallers));
            m_inProgress -= counted;
            return;
        }
        Route &route = std::get<Route>(parsed);
        route.request.body = std::move(request.body);
        api::ClientSink sink;
        sink.chunk = [responder, isStream = route.stream](std::uint64_t offset, const std::string &text) {
            // The response starts with the first chunk, so that a refusal keeps its own HTTP status.
            if (isStream) {
                responder->sendChunk(offset, text);
            }
        };
        sink.reply = [self = shared_from_this(), responder, counted](const api::ClientReply &reply) {
            responder->reply(reply);
            self->m_inProgress -= counted;
        };
        m_handler(std::move(route.request), std::move(sink));
    }

    const wire::Address m_address;
    ProcessStatus m_status;
    api::ClientHandler m_handler;
    OperatorHandler m_operators;
    base::MemoryBudget m_memory;
    asio::io_context m_context{1};
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    asio::thread_pool m_handlers;
    Listener m_listener;
    std::thread m_thread;
    std::atomic<std::size_t> m_inProgress{0};
};

CallerEndpoint::CallerEndpoint(const wire::Address &address, const EndpointResources &resources, ProcessStatus status,
                               api::ClientHandler handler, OperatorHandler operators)
    : d(std::make_shared<Private>(address, resources, std::move(status), std::move(handler), std::move(operators)))
{
}

CallerEndpoint::~CallerEndpoint()
{
    stop();
}

std::string CallerEndpoint::start()
{
    return d->start();
}

void CallerEndpoint::stop()
{
    d->stop();
}

std::size_t CallerEndpoint::inProgress() const
{
    return d->inProgress();
}

}
