#include "runner/engineupstream.h"

#include "http/bytesink.h"
#include "http/receivedresponse.h"
#include "runner/linesplitter.h"
#include "runner/sseparser.h"

#include <optional>

#include <cpprest/http_client.h>
#include <nlohmann/json.hpp>

namespace briarhinge::runner
{

namespace
{

using nlohmann::json;
using web::http::http_response;

constexpr base::Milliseconds unreachableRetryDelay{1000};

/** Far more than the longest answer with the frames around its tokens. */
constexpr std::size_t maxStreamBytes = std::size_t{64} * 1024 * 1024;
constexpr std::string_view endOfStream = "[DONE]";

class RequestCancellation : public Cancellation
{
public:
    void cancel() override
    {
        m_source.cancel();
    }

    pplx::cancellation_token token() const
    {
        return m_source.get_token();
    }

private:
    pplx::cancellation_token_source m_source;
};

/** Parses the streamed response to one call. */
class StreamReader : public std::enable_shared_from_this<StreamReader>
{
public:
    StreamReader(const UpstreamCall &call, UpstreamObserver observer)
        : m_observer(std::move(observer))
        , m_text(call.partial)
        , m_parser([this](std::string_view data) {
            processEvent(data);
        })
        , m_lines([this](std::string_view line) {
            m_parser.processLine(line);
        })
    {
    }

    /** @return stream that receives the response body; it keeps this reader alive */
    concurrency::streams::ostream sink()
    {
        const auto bytes =
            std::make_shared<http::ByteSink>(maxStreamBytes, [self = shared_from_this()](std::string_view piece) {
                self->m_lines.append(piece);
            });
        return concurrency::streams::streambuf<std::uint8_t>(bytes).create_ostream();
    }

    /** @param response the response, whose body was received without an error */
    core::Outcome outcome(const http_response &response) const
    {
        if (!m_error.empty()) {
            return core::Failed{m_error};
        }
        if (!http::isWhole(response, m_complete ? http::ContentEnd::Stated : http::ContentEnd::InsideItem)) {
            return core::Unknown{"the engine's stream broke off"};
        }
        return core::Completed{m_text, m_usage};
    }

private:
    void processEvent(std::string_view data)
    {
        if (data == endOfStream) {
            m_complete = true;
            return;
        }
        const json parsed = json::parse(data, nullptr, false);
        if (parsed.is_discarded() || !parsed.is_object()) {
            m_error = "the engine sent an event that is not JSON";
            return;
        }
        readUsage(parsed);
        for (const json &choice : parsed.value("choices", json::array())) {
            const std::string text = choice.value("delta", json::object()).value("content", std::string());
            if (!text.empty()) {
                m_observer.chunk(m_text.size(), text);
                m_text += text;
            }
        }
    }

    void readUsage(const json &parsed)
    {
        const auto usage = parsed.find("usage");
        if (usage == parsed.end() || !usage->is_object()) {
            return;
        }
        m_usage.prompt = base::Tokens(usage->value("prompt_tokens", std::uint64_t{0}));
        m_usage.completion = base::Tokens(usage->value("completion_tokens", std::uint64_t{0}));
        m_usage.cached = base::Tokens(
            usage->value("prompt_tokens_details", json::object()).value("cached_tokens", std::uint64_t{0}));
    }

    UpstreamObserver m_observer;
    std::string m_text;
    SseParser m_parser;
    LineSplitter m_lines;
    core::Usage m_usage;
    std::string m_error;
    bool m_complete = false;
};

std::string requestBody(const UpstreamCall &call)
{
    const json body{{"model", call.call.request.target.value()},
                    {"messages", json::array({{{"role", "user"}, {"content", call.call.prompt}}})},
                    {"stream", true},
                    {"stream_options", {{"include_usage", true}}},
                    {"max_tokens", call.call.request.maxTokens.value()},
                    {"user", call.call.program.value()},
                    {"priority", call.call.priority},
                    {"resume_from", call.partial.size()}};
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

/** Parses a JSON text such as {"last":2,"events":[{"stored":true,"block":17}]}. @return nothing if it is no object */
std::optional<CacheEvents> parseCacheEvents(const std::string &text, std::uint64_t after)
{
    const json parsed = json::parse(text, nullptr, false);
    if (!parsed.is_object()) {
        return std::nullopt;
    }
    CacheEvents events;
    events.last = parsed.value("last", after);
    const json list = parsed.value("events", json::array());
    for (const json &event : list) {
        events.events.push_back({event.at("block").get<BlockHash>(), event.at("stored").get<bool>()});
    }
    return events;
}

/** Returns whether the request was certainly not sent: cpprest reports host_unreachable only for a failed connect. */
bool isConnectFailure(const web::http::http_exception &error)
{
    return error.error_code() == std::errc::host_unreachable;
}

}

class EngineUpstream::Private
{
public:
    Private(const std::string &url, base::Milliseconds timeout)
        : client(url, config(timeout))
        , m_url(url)
        , m_timeout(timeout)
    {
    }

    /** @return a client without a connection */
    std::shared_ptr<web::http::client::http_client> makeClient() const
    {
        return std::make_shared<web::http::client::http_client>(m_url, config(m_timeout));
    }

    /** Sends a request about held prefixes. Errors are ignored, since each hold is a lease that expires by itself. */
    void post(const std::string &path, const json &body)
    {
        web::http::http_request request(web::http::methods::POST);
        request.set_request_uri(path);
        request.set_body(body.dump(-1, ' ', false, json::error_handler_t::replace), "application/json");
        client.request(request).then([](const pplx::task<http_response> &task) {
            try {
                task.get();
            } catch (const std::exception &) {
                return;
            }
        });
    }

    /** Used for requests about the cache, which may safely be sent twice. */
    web::http::client::http_client client;

private:
    static web::http::client::http_client_config config(base::Milliseconds timeout)
    {
        web::http::client::http_client_config settings;
        settings.set_timeout(timeout);
        return settings;
    }

    const std::string m_url;
    const base::Milliseconds m_timeout;
};

EngineUpstream::EngineUpstream(const std::string &url, base::Milliseconds timeout)
    : d(std::make_unique<Private>(url, timeout))
{
}

EngineUpstream::~EngineUpstream() = default;

std::shared_ptr<Cancellation> EngineUpstream::execute(const UpstreamCall &call, const UpstreamObserver &observer)
{
    const auto cancellation = std::make_shared<RequestCancellation>();
    const auto reader = std::make_shared<StreamReader>(call, observer);
    web::http::http_request request(web::http::methods::POST);
    request.set_request_uri("/v1/chat/completions");
    request.set_body(requestBody(call), "application/json");
    request.set_response_stream(reader->sink());
    // Each call uses its own client, because cpprest resends a request by itself when the engine closes a reused
    // connection. A request that crashed the engine would crash it again, or be reported as never sent.
    const auto client = d->makeClient();
    client->request(request, cancellation->token())
        .then([reader](const http_response &response) -> pplx::task<std::optional<core::Outcome>> {
            if (response.status_code() == web::http::status_codes::OK) {
                return response.content_ready().then(
                    [reader](const http_response &received) -> std::optional<core::Outcome> {
                        return reader->outcome(received);
                    });
            }
            const std::string reason = "the engine answered " + std::to_string(response.status_code());
            return pplx::task_from_result<std::optional<core::Outcome>>(core::Failed{reason});
        })
        .then([observer, client](const pplx::task<std::optional<core::Outcome>> &task) {
            try {
                observer.ended(*task.get());
            } catch (const web::http::http_exception &error) {
                if (isConnectFailure(error)) {
                    observer.ended(core::NotRun{error.what(), unreachableRetryDelay});
                } else {
                    observer.ended(core::Unknown{error.what()});
                }
            } catch (const std::exception &error) {
                observer.ended(core::Unknown{error.what()});
            }
        });
    return cancellation;
}

void EngineUpstream::release(const base::ProgramId &program)
{
    d->post("/v1/cache/release", json{{"user", program.value()}});
}

void EngineUpstream::hold(const base::ProgramId &program, const std::string &prefix, base::Milliseconds lease)
{
    d->post("/v1/cache/hold", json{{"user", program.value()}, {"prompt", prefix}, {"ttl_ms", lease.count()}});
}

void EngineUpstream::renew(const std::vector<base::ProgramId> &programs, base::Milliseconds lease)
{
    json users = json::array();
    for (const base::ProgramId &program : programs) {
        users.push_back(program.value());
    }
    d->post("/v1/cache/renew", json{{"users", std::move(users)}, {"ttl_ms", lease.count()}});
}

void EngineUpstream::requestCacheEvents(std::uint64_t after, const CacheEventsHandler &handler)
{
    d->client.request(web::http::methods::GET, "/v1/events?after=" + std::to_string(after))
        .then([](const http_response &response) {
            return response.extract_utf8string(true);
        })
        .then([after, handler](const pplx::task<std::string> &task) {
            try {
                handler(parseCacheEvents(task.get(), after));
            } catch (const std::exception &) {
                handler(std::nullopt);
            }
        });
}

}
