#include "common/httpstandin.h"
#include "engine/batcher.h"

#include <atomic>
#include <deque>
#include <fstream>
#include <memory>
#include <mutex>

#include <cpprest/producerconsumerstream.h>

using namespace standins::common;
using namespace standins::engine;
using nlohmann::json;

namespace
{

using StreamBuffer = concurrency::streams::producer_consumer_buffer<std::uint8_t>;

constexpr std::string_view crashMarker = "CRASH-ENGINE";

Speed parseSpeed(const std::map<std::string, std::string> &options)
{
    Speed speed;
    speed.step = std::chrono::microseconds(parseNumber(options, "step-us", 2000));
    speed.perSequence = std::chrono::microseconds(parseNumber(options, "sequence-us", 100));
    speed.perPrefillToken = std::chrono::nanoseconds(parseNumber(options, "prefill-ns", 20'000));
    speed.maxBatch = parseNumber(options, "batch", 16);
    speed.cacheTokens = parseNumber(options, "cache-tokens", 200'000);
    return speed;
}

/** Model engine with a chat-completions interface, cache holds, cache events and fencing. */
class Engine
{
public:
    explicit Engine(const std::map<std::string, std::string> &options)
        : m_batcher(parseSpeed(options))
        , m_checksFencing(options.contains("check-fencing"))
        , m_loadLag(parseNumber(options, "load-lag", 0))
        , m_eventsLag(parseNumber(options, "events-lag", 0))
        , m_eventsGap(parseNumber(options, "events-gap", 0))
    {
        const auto requests = options.find("requests");
        if (requests != options.end()) {
            m_requestLog.open(requests->second, std::ios::app);
        }
    }

    void handle(const http_request &request, const std::string &text)
    {
        const std::string path = request.relative_uri().path();
        if (path == "/v1/chat/completions") {
            handleCompletion(request, text);
        } else if (path == "/v1/cache/hold" || path == "/v1/cache/release") {
            changeHold(request, text, path.ends_with("hold"));
        } else if (path == "/v1/cache/renew") {
            renewHolds(request, text);
        } else if (path == "/v1/orders") {
            handleOrder(request, text);
        } else if (path == "/v1/events") {
            replyJson(request, status_codes::OK, delayedEvents(parseNumber(parseQuery(request), "after", 0)));
        } else if (path == "/v1/load") {
            replyJson(request, status_codes::OK, delayedLoad());
        } else if (path == "/v1/account") {
            replyJson(request, status_codes::OK, toJson(m_batcher.counters()));
        } else {
            replyJson(request, status_codes::NotFound, {{"error", "no such path"}});
        }
    }

private:
    static json toJson(const Counters &counters)
    {
        return {{"running", counters.running},
                {"waiting", counters.waiting},
                {"prefillTokens", counters.prefillTokens},
                {"cachedTokens", counters.cachedTokens},
                {"completionTokens", counters.completionTokens},
                {"requests", counters.requests},
                {"held", counters.held}};
    }

    void handleCompletion(const http_request &request, const std::string &text)
    {
        const json body = json::parse(text, nullptr, false);
        if (!body.is_object() || !body.contains("messages") || body["messages"].empty()) {
            replyJson(request, status_codes::BadRequest, {{"error", "messages must be given"}});
            return;
        }
        Sequence sequence;
        sequence.prompt = body["messages"].back().value("content", "");
        sequence.user = body.value("user", "");
        sequence.model = body.value("model", "");
        sequence.priority = body.value("priority", 0);
        sequence.maxTokens = body.value("max_tokens", 256);
        sequence.resumeFrom = body.value("resume_from", 0);
        recordRequest(sequence);
        if (sequence.prompt.find(crashMarker) != std::string::npos) {
            std::_Exit(1);
        }
        stream(request, std::move(sequence));
    }

    /** Appends a received request to the file of --requests, for tests. */
    void recordRequest(const Sequence &sequence)
    {
        const std::lock_guard lock(m_mutex);
        if (m_requestLog.is_open()) {
            m_requestLog << sequence.user << ' ' << sequence.prompt.size() << std::endl;
        }
    }

    void stream(const http_request &request, Sequence sequence)
    {
        StreamBuffer buffer;
        http_response response(status_codes::OK);
        response.headers().set_content_type("text/event-stream");
        response.set_body(buffer.create_istream());
        auto isDisconnected = std::make_shared<std::atomic<bool>>(false);
        request.reply(response).then([isDisconnected](const pplx::task<void> &sent) {
            try {
                sent.get();
            } catch (const std::exception &) {
                *isDisconnected = true;
            }
        });
        sequence.onToken = [buffer, isDisconnected](const std::string &text) mutable {
            writeEvent(buffer, json{{"choices", json::array({{{"delta", {{"content", text}}}}})}});
            return !*isDisconnected;
        };
        sequence.onDone = [buffer](std::uint64_t prompt, std::uint64_t cached, std::uint64_t completion) mutable {
            writeEvent(buffer,
                       json{{"choices", json::array()},
                            {"usage",
                             {{"prompt_tokens", prompt},
                              {"completion_tokens", completion},
                              {"prompt_tokens_details", {{"cached_tokens", cached}}}}}});
            writeText(buffer, "data: [DONE]\n\n");
            buffer.close(std::ios_base::out);
        };
        m_batcher.add(std::move(sequence));
    }

    static void writeEvent(StreamBuffer &buffer, const json &event)
    {
        writeText(buffer, "data: " + event.dump() + "\n\n");
    }

    static void writeText(StreamBuffer &buffer, const std::string &text)
    {
        buffer.putn_nocopy(reinterpret_cast<const std::uint8_t *>(text.data()), text.size()).wait();
        buffer.sync().wait();
    }

    void changeHold(const http_request &request, const std::string &text, bool hold)
    {
        const json body = json::parse(text);
        if (hold) {
            m_batcher.hold(body.value("user", ""), body.value("prompt", ""),
                           std::chrono::milliseconds(body.value("ttl_ms", 1000)));
        } else {
            m_batcher.release(body.value("user", ""));
        }
        replyJson(request, status_codes::OK, json::object());
    }

    void renewHolds(const http_request &request, const std::string &text)
    {
        const json body = json::parse(text);
        const json users = body.value("users", json::array());
        for (const json &user : users) {
            m_batcher.renew(user.get<std::string>(), std::chrono::milliseconds(body.value("ttl_ms", 1000)));
        }
        replyJson(request, status_codes::OK, json::object());
    }

    /** Accepts an order; with --check-fencing, rejects one whose fencing token is lower than the highest seen. */
    void handleOrder(const http_request &request, const std::string &text)
    {
        const json body = json::parse(text);
        const std::uint64_t fence = body.value("fence", std::uint64_t{0});
        const std::lock_guard lock(m_mutex);
        if (m_checksFencing && fence < m_highestFence) {
            replyJson(request, status_codes::Conflict, {{"fence", m_highestFence}});
            return;
        }
        m_highestFence = std::max(m_highestFence, fence);
        replyJson(request, status_codes::OK, {{"fence", m_highestFence}});
    }

    /** @return the cache events that are older than the events lag; every m_eventsGap-th one is dropped */
    json delayedEvents(std::uint64_t after)
    {
        const auto visibleUntil = std::chrono::steady_clock::now() - m_eventsLag;
        json events = json::array();
        std::uint64_t last = after;
        for (const CacheChange &change : m_batcher.changesAfter(after)) {
            if (change.at > visibleUntil) {
                break;
            }
            ++last;
            if (m_eventsGap == 0 || last % m_eventsGap != 0) {
                events.push_back({{"block", change.block}, {"stored", change.stored}});
            }
        }
        return {{"last", last}, {"events", std::move(events)}};
    }

    /** @return the load as it was one load lag ago */
    json delayedLoad()
    {
        const auto now = std::chrono::steady_clock::now();
        const json current = toJson(m_batcher.counters());
        const std::lock_guard lock(m_mutex);
        m_loads.push_back({now, current});
        while (m_loads.size() > 1 && m_loads[1].first + m_loadLag <= now) {
            m_loads.pop_front();
        }
        return m_loads.front().second;
    }

    Batcher m_batcher;
    const bool m_checksFencing;
    const std::chrono::milliseconds m_loadLag;
    const std::chrono::milliseconds m_eventsLag;
    const std::uint64_t m_eventsGap;
    std::mutex m_mutex;
    std::uint64_t m_highestFence = 0;
    std::ofstream m_requestLog;
    std::deque<std::pair<std::chrono::steady_clock::time_point, json>> m_loads;
};

}

int main(int argc, char **argv)
{
    return serve(argc, argv, "standin-engine", [](const auto &options) {
        auto engine = std::make_shared<Engine>(options);
        return [engine](const http_request &request, const std::string &body) {
            engine->handle(request, body);
        };
    });
}
