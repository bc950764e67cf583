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

    bool take()
    {
        const auto now = std::chrono::steady_clock::now();
        const std::lock_guard lock(m_mutex);
        if (now - m_second >= std::chrono::seconds(1)) {
            m_second = now;
            m_used = 0;
        }
        return ++m_used <= m_perSecond;
    }

private:
    std::atomic<std::uint64_t> m_perSecond;
    std::mutex m_mutex;
    std::chrono::steady_clock::time_point m_second;
    std::uint64_t m_used = 0;
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
                       {"limited", m_limited.load()}});
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
    bool limited(const http_request &request, RateLimit &limit)
    {
        if (limit.take()) {
            return false;
        }
        ++m_limited;
        request.reply(status_codes::TooManyRequests, "rate");
        return true;
    }

    void setFaults(const std::string &body)
    {
        const json faults = json::parse(body);
        m_delayMs = faults.value("delayMs", m_delayMs.load());
        m_outage = faults.value("outage", m_outage.load());
        m_loseAnswers = faults.value("loseAnswers", m_loseAnswers.load());
        m_writeLimit.setRate(faults.value("writesPerSecond", defaultWritesPerSecond));
        m_readLimit.setRate(faults.value("readsPerSecond", defaultReadsPerSecond));
    }

    void read(const http_request &request, const std::string &path)
    {
        ++m_reads;
        if (limited(request, m_readLimit)) {
            return;
        }
        const auto query = queryOf(request);
        if (path == "/v1/values") {
            constexpr std::uint64_t defaultLimit = 1000;
            const auto after = query.contains("after") ? query.at("after") : std::string();
            replyJson(request, status_codes::OK,
                      toJson(m_store.list(query.at("prefix"), after, numberOf(query, "limit", defaultLimit))));
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
        if (limited(request, m_writeLimit)) {
            return;
        }
        const auto query = queryOf(request);
        m_bytesWritten += value.size();
        if (value.size() > maxValueBytes) {
            request.reply(status_codes::RequestEntityTooLarge, "value over 1 MB");
            return;
        }
        http_response response(status_codes::OK);
        if (path == "/v1/leases") {
            response = lease(request, query);
        } else if (request.method() == web::http::methods::DEL) {
            response.headers().add("X-Version", std::to_string(m_store.remove(query.at("key"))));
        } else {
            const auto [written, version] =
                m_store.write(query.at("key"), value, numberOf(query, "expect", 0), numberOf(query, "lease", 0));
            response.set_status_code(written ? status_codes::OK : status_codes::Conflict);
            response.headers().add("X-Version", std::to_string(version));
        }
        if (loseAnswer()) {
            request.reply(status_codes::GatewayTimeout, "answer lost");
            return;
        }
        request.reply(response);
    }

    http_response lease(const http_request &request, const std::map<std::string, std::string> &query)
    {
        http_response response(status_codes::OK);
        if (request.method() == web::http::methods::POST) {
            const auto opened = m_store.openLease(std::chrono::milliseconds(numberOf(query, "ttl", 1000)));
            response.headers().add("X-Version", std::to_string(opened));
        } else if (!m_store.keepLease(numberOf(query, "lease", 0))) {
            response.set_status_code(status_codes::NotFound);
        }
        return response;
    }

    bool loseAnswer()
    {
        std::uint64_t left = m_loseAnswers;
        while (left > 0) {
            if (m_loseAnswers.compare_exchange_weak(left, left - 1)) {
                return true;
            }
        }
        return false;
    }

    void watch(const http_request &request)
    {
        ++m_watches;
        const auto query = queryOf(request);
        // A waiting watch blocks a separate thread, so that the HTTP threads stay free.
        std::thread([this, request, query] {
            const auto [changes, seen] = m_store.watch(query.at("prefix"), numberOf(query, "after", 0),
                                                       std::chrono::milliseconds(numberOf(query, "wait", 1000)));
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
    std::atomic<std::uint64_t> m_loseAnswers{0};
    RateLimit m_writeLimit{defaultWritesPerSecond};
    RateLimit m_readLimit{defaultReadsPerSecond};
    std::atomic<std::uint64_t> m_reads{0};
    std::atomic<std::uint64_t> m_writes{0};
    std::atomic<std::uint64_t> m_watches{0};
    std::atomic<std::uint64_t> m_bytesWritten{0};
    std::atomic<std::uint64_t> m_limited{0};
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
