#include "keyvalue/httpkeyvalue.h"

#include "http/client.h"
#include "http/percentencoding.h"

#include <charconv>
#include <initializer_list>
#include <utility>

#include <nlohmann/json.hpp>

namespace briarhinge::keyvalue
{

namespace
{

using nlohmann::json;

constexpr unsigned statusOk = 200;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusConflict = 409;
/** Several times the largest page of a listing. */
constexpr std::size_t maxAnswerBytes = std::size_t{64} * 1024 * 1024;

/** An HTTP answer of the service. */
struct Answer
{
    unsigned status = 0;
    std::string body;
    std::uint64_t version = 0;
};

using AnswerResult = std::variant<Answer, PlatformUnavailable>;

PlatformUnavailable unexpectedStatus(const Answer &answer)
{
    return {"the key-value service answered " + std::to_string(answer.status)};
}

std::vector<KeyValue> parseKeys(const json &list)
{
    std::vector<KeyValue> keys;
    for (const json &item : list) {
        keys.push_back({item.at("key").get<std::string>(), item.value("value", std::string()),
                        KeyVersion(item.at("version").get<std::uint64_t>())});
    }
    return keys;
}

/** Appends parameters to a path; a number is given as text. */
std::string withQuery(std::string path, std::initializer_list<std::pair<std::string_view, std::string>> parameters)
{
    char separator = '?';
    for (const auto &[name, value] : parameters) {
        path += separator;
        path += name;
        path += '=' + http::percentEncoded(value);
        separator = '&';
    }
    return path;
}

}

class HttpKeyValue::Private
{
public:
    Private(const std::string &url, base::Milliseconds timeout)
        : m_client(url, {timeout, maxAnswerBytes}, http::Client::Reuse::Keep)
    {
    }

    /**
     * @param method the HTTP method
     * @param target path and query
     * @param body the value to write
     * @param wait how long the service may delay its answer
     */
    AnswerResult send(const std::string &method, std::string target, const std::string &body = {},
                      base::Milliseconds wait = base::Milliseconds(0))
    {
        http::ClientRequest request{method, std::move(target), {}, body};
        if (!body.empty()) {
            request.contentType = "application/octet-stream";
        }
        http::ClientResponse response = m_client.call(std::move(request), wait);
        if (!response.end.reason.empty()) {
            return PlatformUnavailable{"the key-value service: " + response.end.reason};
        }
        // A value is any bytes: a part of it looks like a value, too.
        const auto completeness = http::completeness(response.end.response, http::ContentEnd::Unknown);
        if (completeness != http::Completeness::Complete) {
            return PlatformUnavailable{"the key-value service's answer has no length"};
        }
        Answer answer;
        answer.status = response.head.status;
        answer.body = std::move(response.body);
        if (const auto version = response.head.headers.find("X-Version")) {
            const char *end = version->data() + version->size();
            if (std::from_chars(version->data(), end, answer.version).ptr != end) {
                return PlatformUnavailable{"the key-value service's version is not a number"};
            }
        }
        return answer;
    }

private:
    http::Client m_client;
};

HttpKeyValue::HttpKeyValue(const std::string &url, base::Milliseconds timeout)
    : d(std::make_unique<Private>(url, timeout))
{
}

HttpKeyValue::~HttpKeyValue() = default;

ReadResult HttpKeyValue::read(const std::string &key)
{
    const AnswerResult result = d->send("GET", withQuery("/v1/value", {{"key", key}}));
    if (const auto *unavailable = std::get_if<PlatformUnavailable>(&result)) {
        return *unavailable;
    }
    const auto &answer = std::get<Answer>(result);
    if (answer.status == statusNotFound) {
        return KeyNotFound{};
    }
    if (answer.status != statusOk) {
        return unexpectedStatus(answer);
    }
    return KeyValue{key, answer.body, KeyVersion(answer.version)};
}

WriteResult HttpKeyValue::write(const std::string &key, const std::string &value, KeyVersion expected,
                                std::optional<LeaseId> lease)
{
    std::string target = withQuery("/v1/value", {{"key", key}, {"expect", std::to_string(expected.value())}});
    if (lease) {
        target += "&lease=" + std::to_string(lease->value());
    }
    const AnswerResult result = d->send("PUT", std::move(target), value);
    if (const auto *unavailable = std::get_if<PlatformUnavailable>(&result)) {
        return *unavailable;
    }
    const auto &answer = std::get<Answer>(result);
    if (answer.status == statusConflict) {
        return VersionConflict{KeyVersion(answer.version)};
    }
    if (answer.status != statusOk) {
        return unexpectedStatus(answer);
    }
    return KeyVersion(answer.version);
}

WriteResult HttpKeyValue::remove(const std::string &key)
{
    const AnswerResult result = d->send("DELETE", withQuery("/v1/value", {{"key", key}}));
    if (const auto *unavailable = std::get_if<PlatformUnavailable>(&result)) {
        return *unavailable;
    }
    const auto &answer = std::get<Answer>(result);
    if (answer.status != statusOk) {
        return unexpectedStatus(answer);
    }
    return KeyVersion(answer.version);
}

ListResult HttpKeyValue::list(const std::string &prefix, const std::string &after, std::size_t limit)
{
    const AnswerResult result = d->send(
        "GET", withQuery("/v1/values", {{"prefix", prefix}, {"after", after}, {"limit", std::to_string(limit)}}));
    if (const auto *unavailable = std::get_if<PlatformUnavailable>(&result)) {
        return *unavailable;
    }
    const auto &answer = std::get<Answer>(result);
    if (answer.status != statusOk) {
        return unexpectedStatus(answer);
    }
    try {
        return parseKeys(json::parse(answer.body));
    } catch (const json::exception &error) {
        return PlatformUnavailable{error.what()};
    }
}

LeaseResult HttpKeyValue::openLease(base::Milliseconds ttl)
{
    const AnswerResult result = d->send("POST", withQuery("/v1/leases", {{"ttl", std::to_string(ttl.count())}}));
    if (const auto *unavailable = std::get_if<PlatformUnavailable>(&result)) {
        return *unavailable;
    }
    const auto &answer = std::get<Answer>(result);
    if (answer.status != statusOk) {
        return unexpectedStatus(answer);
    }
    return LeaseId(answer.version);
}

LeaseResult HttpKeyValue::renewLease(LeaseId lease)
{
    const AnswerResult result = d->send("PUT", withQuery("/v1/leases", {{"lease", std::to_string(lease.value())}}));
    if (const auto *unavailable = std::get_if<PlatformUnavailable>(&result)) {
        return *unavailable;
    }
    const auto &answer = std::get<Answer>(result);
    if (answer.status == statusNotFound) {
        return KeyNotFound{};
    }
    if (answer.status != statusOk) {
        return unexpectedStatus(answer);
    }
    return lease;
}

WatchResult HttpKeyValue::watch(const std::string &prefix, KeyVersion after, base::Milliseconds wait)
{
    const std::string target = withQuery(
        "/v1/watch",
        {{"prefix", prefix}, {"after", std::to_string(after.value())}, {"wait", std::to_string(wait.count())}});
    const AnswerResult result = d->send("GET", target, {}, wait);
    if (const auto *unavailable = std::get_if<PlatformUnavailable>(&result)) {
        return *unavailable;
    }
    const auto &answer = std::get<Answer>(result);
    if (answer.status != statusOk) {
        return unexpectedStatus(answer);
    }
    try {
        const json parsed = json::parse(answer.body);
        return Changes{parseKeys(parsed.at("changed")), KeyVersion(parsed.at("seen").get<std::uint64_t>())};
    } catch (const json::exception &error) {
        return PlatformUnavailable{error.what()};
    }
}

}
