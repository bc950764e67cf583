#include "runner/engineupstream.h"

#include "http/client.h"
#include "requests/requestrate.h"
#include "runner/linesplitter.h"
#include "runner/sseparser.h"
#include "runner/startrate.h"

#include <optional>

#include <nlohmann/json.hpp>

namespace briarhinge::runner
{

namespace
{

using nlohmann::json;

constexpr base::Milliseconds unreachableRetryDelay{1000};

constexpr unsigned statusOk = 200;
/** Far more than the longest answer with the frames around its tokens. */
constexpr std::size_t maxStreamBytes = std::size_t{64} * 1024 * 1024;
constexpr std::string_view endOfStream = "[DONE]";

/** Cancels a call of the client. Does not keep it, so that the client may end first. */
class RequestCancellation : public Cancellation
{
public:
    explicit RequestCancellation(std::weak_ptr<http::ClientCall> call)
        : m_call(std::move(call))
    {
    }

    void cancel() override
    {
        if (const auto call = m_call.lock()) {
            call->cancel();
        }
    }

private:
    const std::weak_ptr<http::ClientCall> m_call;
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

    /** @param head the head of the response */
    void start(const http::ResponseHead &head)
    {
        m_status = head.status;
        if (const auto stated = requests::statedRate(head.headers, callRateLimitField)) {
            m_observer.rateStated(*stated);
        }
    }

    /**
     * @param piece the next bytes of the body
     * @return whether they end an event
     */
    bool append(std::string_view piece)
    {
        if (m_status != statusOk) {
            return false;
        }
        const std::size_t events = m_events;
        m_lines.append(piece);
        return m_events > events;
    }

    /** @param end how the call ended */
    core::Outcome outcome(const http::CallEnd &end) const
    {
        if (!end.wasConnected) {
            return core::NotRun{end.reason, unreachableRetryDelay};
        }
        if (end.response.hasHead && m_status != statusOk) {
            return core::Failed{"the engine answered " + std::to_string(m_status)};
        }
        const auto content = m_complete ? http::ContentEnd::Stated : http::ContentEnd::InsideItem;
        if (!m_error.empty()) {
            return core::Failed{m_error};
        }
        if (http::completeness(end.response, content) != http::Completeness::Complete) {
            return core::Unknown{"the engine's stream broke off: " + end.reason};
        }
        return core::Completed{m_text, m_usage};
    }

private:
    void processEvent(std::string_view data)
    {
        ++m_events;
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
    unsigned m_status = 0;
    /** Number of events that were received. */
    std::size_t m_events = 0;
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

}

class EngineUpstream::Private
{
public:
    Private(const std::string &url, base::Milliseconds timeout)
        : calls(url, {timeout, maxStreamBytes}, http::Client::Reuse::Never)
        , cache(url, {timeout, maxStreamBytes}, http::Client::Reuse::Keep)
    {
    }

    /** Sends a request about held prefixes. Errors are ignored, since each hold is a lease that expires by itself. */
    void post(const std::string &path, const json &body)
    {
        cache.send({"POST", path, "application/json", body.dump(-1, ' ', false, json::error_handler_t::replace)},
                   http::CallHandlers());
    }

    /**
     * Runs calls, each on its own connection: it would be unknown whether a request on a kept connection that closes
     * has crashed the engine.
     */
    http::Client calls;
    /** Used for requests about the cache, which may safely be lost. */
    http::Client cache;
};

EngineUpstream::EngineUpstream(const std::string &url, base::Milliseconds timeout)
    : d(std::make_unique<Private>(url, timeout))
{
}

EngineUpstream::~EngineUpstream() = default;

std::shared_ptr<Cancellation> EngineUpstream::execute(const UpstreamCall &call, const UpstreamObserver &observer)
{
    const auto reader = std::make_shared<StreamReader>(call, observer);
    http::CallHandlers handlers;
    handlers.onHead = [reader](const http::ResponseHead &head) {
        reader->start(head);
    };
    handlers.onBody = [reader](std::string_view piece) {
        return reader->append(piece);
    };
    handlers.onEnd = [reader, observer](const http::CallEnd &end) {
        observer.ended(reader->outcome(end));
    };
    return std::make_shared<RequestCancellation>(
        d->calls.send({"POST", "/v1/chat/completions", "application/json", requestBody(call)}, std::move(handlers)));
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
    d->cache.send({"GET", "/v1/events?after=" + std::to_string(after), {}, {}},
                  [after, handler](const http::ClientResponse &response) {
                      const bool isDocument = json::accept(response.body);
                      const auto content = isDocument ? http::ContentEnd::Stated : http::ContentEnd::InsideItem;
                      const bool isWhole =
                          http::completeness(response.end.response, content) == http::Completeness::Complete;
                      handler(isWhole ? parseCacheEvents(response.body, after) : std::nullopt);
                  });
}

}
