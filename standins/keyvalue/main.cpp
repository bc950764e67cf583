#include "common/httpstandin.h"
#include "keyvalue/store.h"

#include <atomic>
#include <memory>
#include <thread>

using namespace standins::common;
using nlohmann::json;
using standins::keyvalue::Change;
using standins::keyvalue::Store;

namespace
{

constexpr std::size_t maxValueBytes = std::size_t{1024} * 1024;
constexpr std::uint64_t defaultWritesPerSecond = 500;
constexpr std::uint64_t defaultReadsPerSecond = 2000;

/** Limits the calls per second, as the platform does. */
class RateLimit
{
public:
    explicit RateLimit(std::uint64_t perSecond)
        : m_perSecond(perSecond)
    {
    }

    void setRate(std::uint64_t perSecond)
    {
        m_perSecond = perSecond;
    }

    bool tryAcquire()
    {
        const auto now = std::chrono::steady_clock::now();
        const std::lock_guard lock(m_mutex);
        if (now - m_windowStart >= std::chrono::seconds(1)) {
            m_windowStart = now;
            m_callsInWindow = 0;
        }
        return ++m_callsInWindow <= m_perSecond;
    }

private:
    std::atomic<std::uint64_t> m_perSecond;
    std::mutex m_mutex;
    std::chrono::steady_clock::time_point m_windowStart;
    std::uint64_t m_callsInWindow = 0;
};

/** Key-value service with injectable faults: delay, outage, and responses lost after the write took effect. */
class Service
{
public:
    void handle(const http_request &request, const std::string &body)
    {
        const std::string path = request.relative_uri().path();
        if (path == "/admin/faults") {
            setFaults(body);
            replyJson(request, status_codes::OK, json::object());
            return;
        }
        if (path == "/admin/counts") {
            replyJson(request, status_codes::OK,
                      {{"reads", m_reads.load()},
                       {"writes", m_writes.load()},
                       {"watches", m_watches.load()},
                       {"bytesWritten", m_bytesWritten.load()},
                       {"limited", m_rejected.load()}});
            return;
        }
        if (m_outage) {
            request.reply(status_codes::ServiceUnavailable, "outage");
            return;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(m_delayMs.load()));
        if (path == "/v1/watch") {
            watch(request);
        } else if (request.method() == web::http::methods::GET) {
            read(request, path);
        } else {
            write(request, path, body);
        }
    }

private:
    bool rejectIfLimited(const http_request &request, RateLimit &limit)
    {
        if (limit.tryAcquire()) {
            return false;
        }
        ++m_rejected;
        request.reply(status_codes::TooManyRequests, "rate");
        return true;
    }

    void setFaults(const std::string &body)
    {
        const json faults = json::parse(body);
        m_delayMs = faults.value("delayMs", m_delayMs.load());
        m_outage = faults.value("outage", m_outage.load());
        m_responsesToLose = faults.value("loseAnswers", m_responsesToLose.load());
        m_writeLimit.setRate(faults.value("writesPerSecond", defaultWritesPerSecond));
        m_readLimit.setRate(faults.value("readsPerSecond", defaultReadsPerSecond));
    }

    void read(const http_request &request, const std::string &path)
    {
        ++m_reads;
        if (rejectIfLimited(request, m_readLimit)) {
            return;
        }
        const auto query = parseQuery(request);
        if (path == "/v1/values") {
            constexpr std::uint64_t defaultLimit = 1000;
            const auto after = query.contains("after") ? query.at("after") : std::string();
            replyJson(request, status_codes::OK,
                      toJson(m_store.list(query.at("prefix"), after, parseNumber(query, "limit", defaultLimit))));
            return;
        }
        const auto entry = m_store.read(query.at("key"));
        if (!entry) {
            request.reply(status_codes::NotFound, "");
            return;
        }
        http_response response(status_codes::OK);
        response.headers().add("X-Version", std::to_string(entry->version));
        response.set_body(entry->value, "application/octet-stream");
        request.reply(response);
    }

    void write(const http_request &request, const std::string &path, const std::string &value)
    {
        ++m_writes;
        if (rejectIfLimited(request, m_writeLimit)) {
            return;
        }
        const auto query = parseQuery(request);
        m_bytesWritten += value.size();
        if (value.size() > maxValueBytes) {
            request.reply(status_codes::RequestEntityTooLarge, "value over 1 MB");
            return;
        }
        http_response response(status_codes::OK);
        if (path == "/v1/leases") {
            response = handleLease(request, query);
        } else if (request.method() == web::http::methods::DEL) {
            response.headers().add("X-Version", std::to_string(m_store.remove(query.at("key"))));
        } else {
            const auto [written, version] =
                m_store.write(query.at("key"), value, parseNumber(query, "expect", 0), parseNumber(query, "lease", 0));
            response.set_status_code(written ? status_codes::OK : status_codes::Conflict);
            response.headers().add("X-Version", std::to_string(version));
        }
        if (tryLoseResponse()) {
            request.reply(status_codes::GatewayTimeout, "answer lost");
            return;
        }
        request.reply(response);
    }

    http_response handleLease(const http_request &request, const std::map<std::string, std::string> &query)
    {
        http_response response(status_codes::OK);
        if (request.method() == web::http::methods::POST) {
            const auto leaseId = m_store.openLease(std::chrono::milliseconds(parseNumber(query, "ttl", 1000)));
            response.headers().add("X-Version", std::to_string(leaseId));
        } else if (!m_store.renewLease(parseNumber(query, "lease", 0))) {
            response.set_status_code(status_codes::NotFound);
        }
        return response;
    }

    bool tryLoseResponse()
    {
        std::uint64_t left = m_responsesToLose;
        while (left > 0) {
            if (m_responsesToLose.compare_exchange_weak(left, left - 1)) {
                return true;
            }
        }
        return false;
    }

    void watch(const http_request &request)
    {
        ++m_watches;
        const auto query = parseQuery(request);
        // A waiting watch blocks a separate thread, so that the HTTP threads stay free.
        std::thread([this, request, query] {
            const auto [changes, seen] = m_store.watch(query.at("prefix"), parseNumber(query, "after", 0),
                                                       std::chrono::milliseconds(parseNumber(query, "wait", 1000)));
            if (m_outage) {
                request.reply(status_codes::ServiceUnavailable, "outage");
                return;
            }
            replyJson(request, status_codes::OK, {{"changed", toJson(changes)}, {"seen", seen}});
        }).detach();
    }

    static json toJson(const std::vector<Change> &changes)
    {
        json list = json::array();
        for (const Change &change : changes) {
            list.push_back({{"key", change.key},
                            {"version", change.version},
                            {"removed", change.removed},
                            {"value", change.value}});
        }
        return list;
    }

    Store m_store;
    std::atomic<std::uint64_t> m_delayMs{0};
    std::atomic<bool> m_outage{false};
    std::atomic<std::uint64_t> m_responsesToLose{0};
    RateLimit m_writeLimit{defaultWritesPerSecond};
    RateLimit m_readLimit{defaultReadsPerSecond};
    std::atomic<std::uint64_t> m_reads{0};
    std::atomic<std::uint64_t> m_writes{0};
    std::atomic<std::uint64_t> m_watches{0};
    std::atomic<std::uint64_t> m_bytesWritten{0};
    std::atomic<std::uint64_t> m_rejected{0};
};

}

int main(int argc, char **argv)
{
    return serve(argc, argv, "standin-keyvalue", [](const auto &) {
        auto service = std::make_shared<Service>();
        return [service](const http_request &request, const std::string &body) {
            service->handle(request, body);
        };
    });
}
