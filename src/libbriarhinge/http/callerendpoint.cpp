#include "http/callerendpoint.h"

#include "api/json.h"

#include <atomic>
#include <charconv>
#include <map>
#include <mutex>

#include <cpprest/http_listener.h>
#include <cpprest/producerconsumerstream.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <pplx/threadpool.h>

namespace briarhinge::http
{

namespace
{

using web::http::http_request;
using web::http::http_response;
using web::http::methods;
using web::http::status_codes;
using web::http::experimental::listener::http_listener;
using StreamBuffer = concurrency::streams::producer_consumer_buffer<std::uint8_t>;

constexpr std::int64_t msPerSecond = 1000;
constexpr std::string_view operatorPath = "/v1/operator/";

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

http_response toResponse(const api::ClientReply &reply)
{
    http_response response(reply.status);
    response.set_body(reply.body, "application/json");
    if (reply.retryAfter) {
        const std::int64_t seconds = (reply.retryAfter->count() + msPerSecond - 1) / msPerSecond;
        response.headers().add("Retry-After", std::to_string(seconds));
    }
    return response;
}

/** Sends one response as server-sent events: "chunk" events, then one "end" event. */
class EventStream
{
public:
    explicit EventStream(const http_request &request)
    {
        http_response response(status_codes::OK);
        response.headers().set_content_type("text/event-stream");
        response.headers().add("Cache-Control", "no-store");
        response.set_body(m_buffer.create_istream());
        request.reply(response).then([](const pplx::task<void> &sent) {
            try {
                sent.get();
            } catch (const std::exception &) {
                // The caller disconnected; it may resume from an offset.
            }
        });
    }

    void chunk(std::uint64_t offset, const std::string &text)
    {
        const nlohmann::json data{{"offset", offset}, {"text", text}};
        write("chunk", data.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
    }

    void end(const api::ClientReply &reply)
    {
        write("end", fmt::format("{{\"status\":{},\"body\":{}}}", reply.status, reply.body));
        m_buffer.close(std::ios_base::out);
    }

private:
    void write(std::string_view event, const std::string &data)
    {
        const std::string text = fmt::format("event: {}\ndata: {}\n\n", event, data);
        m_buffer.putn_nocopy(reinterpret_cast<const std::uint8_t *>(text.data()), text.size()).wait();
        m_buffer.sync().wait();
    }

    StreamBuffer m_buffer;
};

/** A request decoded from its path and query. */
struct Route
{
    api::ClientRequest request;
    bool stream = false;
};

std::variant<Route, api::BadRequest> parseRoute(const http_request &request)
{
    const std::vector<std::string> parts = web::uri::split_path(request.relative_uri().path());
    const auto query = web::uri::split_query(request.relative_uri().query());
    const bool isPost = request.method() == methods::POST;
    const bool isGet = request.method() == methods::GET;
    const api::BadRequest noSuchPath{
        "path-unknown",
        fmt::format("{} {} is not part of the interface", request.method(), request.relative_uri().path())};
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
    if (parts.size() == 3 && (isGet || request.method() == methods::DEL)) {
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
    Private(const wire::Address &address, ProcessStatus status, api::ClientHandler handler, OperatorHandler operators)
        : m_status(std::move(status))
        , m_handler(std::move(handler))
        , m_operators(std::move(operators))
        , m_listener("http://" + wire::toString(address))
    {
    }

    std::string start()
    {
        m_listener.support([this](const http_request &request) {
            handleRequest(request);
        });
        try {
            m_listener.open().get();
        } catch (const std::exception &error) {
            return error.what();
        }
        return {};
    }

    void stop()
    {
        try {
            m_listener.close().get();
        } catch (const std::exception &) {
            // The listener was never opened.
        }
    }

    std::size_t inProgress() const
    {
        return m_inProgress;
    }

private:
    void handleRequest(const http_request &request)
    {
        const std::string path = request.relative_uri().path();
        if (request.method() == methods::GET && path == "/metrics") {
            request.reply(status_codes::OK, m_status.metrics(), "text/plain; version=0.0.4");
        } else if (request.method() == methods::GET && path == "/healthz") {
            request.reply(status_codes::OK, "ok\n", "text/plain");
        } else if (request.method() == methods::GET && path == "/readyz") {
            const bool ready = m_status.isReady();
            request.reply(ready ? status_codes::OK : status_codes::ServiceUnavailable,
                          ready ? "ready\n" : "not ready\n", "text/plain");
        } else if (m_operators && path.starts_with(operatorPath)) {
            handleOperatorRequest(request, path);
        } else {
            handleClientRequest(request);
        }
    }

    void handleOperatorRequest(const http_request &request, const std::string &path)
    {
        OperatorRequest operatorRequest;
        operatorRequest.isPost = request.method() == methods::POST;
        operatorRequest.path = web::uri::split_path(path.substr(operatorPath.size()));
        m_operators(std::move(operatorRequest), [request](const api::ClientReply &reply) {
            request.reply(toResponse(reply));
        });
    }

    void handleClientRequest(http_request request)
    {
        auto parsed = parseRoute(request);
        if (const auto *bad = std::get_if<api::BadRequest>(&parsed)) {
            request.reply(toResponse(api::toReply(*bad)));
            return;
        }
        if (!m_handler) {
            request.reply(toResponse(api::toReply(api::BadRequest{"no-callers", "this process takes no callers"})));
            return;
        }
        if (request.headers().content_length() > api::maxBodyBytes) {
            refuseBody(request, request.headers().content_length());
            return;
        }
        auto self = shared_from_this();
        ++m_inProgress;
        request.extract_utf8string(true).then(
            [self, request, route = std::get<Route>(parsed)](const pplx::task<std::string> &body) mutable {
                try {
                    route.request.body = body.get();
                    self->handle(request, std::move(route));
                } catch (const std::exception &error) {
                    --self->m_inProgress;
                    request.reply(toResponse(api::toReply(api::BadRequest{"body-unread", error.what()})));
                }
            });
    }

    static void refuseBody(const http_request &request, std::uint64_t bytes)
    {
        request.reply(toResponse(api::toReply(api::BadRequest{
            "body-size", fmt::format("the body has {} bytes, must be at most {}", bytes, api::maxBodyBytes)})));
    }

    void handle(const http_request &request, Route route)
    {
        // The size of a chunked body is not known in advance.
        if (route.request.body.size() > api::maxBodyBytes) {
            refuseBody(request, route.request.body.size());
            --m_inProgress;
            return;
        }
        api::ClientSink sink;
        auto self = shared_from_this();
        if (route.stream) {
            // The response starts with the first chunk, so that a refusal keeps its own HTTP status.
            auto events = std::make_shared<std::shared_ptr<EventStream>>();
            sink.chunk = [request, events](std::uint64_t offset, const std::string &text) {
                if (!*events) {
                    *events = std::make_shared<EventStream>(request);
                }
                (*events)->chunk(offset, text);
            };
            sink.reply = [self, request, events](const api::ClientReply &reply) {
                if (*events) {
                    (*events)->end(reply);
                } else {
                    request.reply(toResponse(reply));
                }
                --self->m_inProgress;
            };
        } else {
            sink.chunk = [](std::uint64_t, const std::string &) {};
            sink.reply = [self, request](const api::ClientReply &reply) {
                request.reply(toResponse(reply));
                --self->m_inProgress;
            };
        }
        m_handler(std::move(route.request), std::move(sink));
    }

    ProcessStatus m_status;
    api::ClientHandler m_handler;
    OperatorHandler m_operators;
    http_listener m_listener;
    std::atomic<std::size_t> m_inProgress{0};
};

CallerEndpoint::CallerEndpoint(const wire::Address &address, ProcessStatus status, api::ClientHandler handler,
                               OperatorHandler operators)
    : d(std::make_shared<Private>(address, std::move(status), std::move(handler), std::move(operators)))
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

void setHttpThreads(std::size_t count)
{
    crossplat::threadpool::initialize_with_threads(count);
}

}
