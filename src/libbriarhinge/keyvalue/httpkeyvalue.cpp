#include "keyvalue/httpkeyvalue.h"

#include "http/bytesink.h"
#include "http/receivedresponse.h"

#include <cpprest/http_client.h>
#include <nlohmann/json.hpp>

namespace briarhinge::keyvalue
{

namespace
{

using nlohmann::json;
using web::uri_builder;
using web::http::http_response;
using web::http::methods;
using web::http::status_codes;

/** Several times the largest page of a listing. */
constexpr std::size_t maxAnswerBytes = std::size_t{64} * 1024 * 1024;

/** An HTTP answer of the service. */
struct Answer
{
    web::http::status_code status = 0;
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

}

class HttpKeyValue::Private
{
public:
    Private(const std::string &url, base::Milliseconds timeout)
        : m_url(url)
        , m_timeout(timeout)
        , m_client(url, config(timeout))
    {
    }

    AnswerResult send(const web::http::method &method, const uri_builder &uri, const std::string *body = nullptr)
    {
        return sendWith(m_client, method, uri, body);
    }

    /** Sends a request on its own connection, whose timeout includes the wait. */
    AnswerResult sendLongPoll(const uri_builder &uri, base::Milliseconds wait)
    {
        web::http::client::http_client client(m_url, config(m_timeout + wait));
        return sendWith(client, methods::GET, uri, nullptr);
    }

private:
    static web::http::client::http_client_config config(base::Milliseconds timeout)
    {
        web::http::client::http_client_config settings;
        settings.set_timeout(timeout);
        return settings;
    }

    static AnswerResult sendWith(web::http::client::http_client &client, const web::http::method &method,
                                 const uri_builder &uri, const std::string *body)
    {
        try {
            web::http::http_request request(method);
            request.set_request_uri(uri.to_uri());
            if (body != nullptr) {
                request.set_body(*body, "application/octet-stream");
            }
            const auto received = std::make_shared<std::string>();
            request.set_response_stream(http::boundedBody(received, maxAnswerBytes));
            const http_response response = client.request(request).get().content_ready().get();
            Answer answer;
            answer.status = response.status_code();
            answer.body = std::move(*received);
            // A value is any bytes: a part of it looks like a value, too.
            if (!http::isWhole(response, http::ContentEnd::Unknown)) {
                return PlatformUnavailable{"the key-value service's answer has no length"};
            }
            const auto version = response.headers().find("X-Version");
            if (version != response.headers().end()) {
                answer.version = std::stoull(version->second);
            }
            return answer;
        } catch (const std::exception &error) {
            return PlatformUnavailable{error.what()};
        }
    }

    const std::string m_url;
    const base::Milliseconds m_timeout;
    web::http::client::http_client m_client;
};

HttpKeyValue::HttpKeyValue(const std::string &url, base::Milliseconds timeout)
    : d(std::make_unique<Private>(url, timeout))
{
}

HttpKeyValue::~HttpKeyValue() = default;

ReadResult HttpKeyValue::read(const std::string &key)
{
    uri_builder uri("/v1/value");
    uri.append_query("key", key);
    const AnswerResult result = d->send(methods::GET, uri);
    if (const auto *unavailable = std::get_if<PlatformUnavailable>(&result)) {
        return *unavailable;
    }
    const auto &answer = std::get<Answer>(result);
    if (answer.status == status_codes::NotFound) {
        return KeyNotFound{};
    }
    if (answer.status != status_codes::OK) {
        return unexpectedStatus(answer);
    }
    return KeyValue{key, answer.body, KeyVersion(answer.version)};
}

WriteResult HttpKeyValue::write(const std::string &key, const std::string &value, KeyVersion expected,
                                std::optional<LeaseId> lease)
{
    uri_builder uri("/v1/value");
    uri.append_query("key", key).append_query("expect", expected.value());
    if (lease) {
        uri.append_query("lease", lease->value());
    }
    const AnswerResult result = d->send(methods::PUT, uri, &value);
    if (const auto *unavailable = std::get_if<PlatformUnavailable>(&result)) {
        return *unavailable;
    }
    const auto &answer = std::get<Answer>(result);
    if (answer.status == status_codes::Conflict) {
        return VersionConflict{KeyVersion(answer.version)};
    }
    if (answer.status != status_codes::OK) {
        return unexpectedStatus(answer);
    }
    return KeyVersion(answer.version);
}

WriteResult HttpKeyValue::remove(const std::string &key)
{
    uri_builder uri("/v1/value");
    uri.append_query("key", key);
    const AnswerResult result = d->send(methods::DEL, uri);
    if (const auto *unavailable = std::get_if<PlatformUnavailable>(&result)) {
        return *unavailable;
    }
    const auto &answer = std::get<Answer>(result);
    if (answer.status != status_codes::OK) {
        return unexpectedStatus(answer);
    }
    return KeyVersion(answer.version);
}

ListResult HttpKeyValue::list(const std::string &prefix, const std::string &after, std::size_t limit)
{
    uri_builder uri("/v1/values");
    uri.append_query("prefix", prefix).append_query("after", after).append_query("limit", limit);
    const AnswerResult result = d->send(methods::GET, uri);
    if (const auto *unavailable = std::get_if<PlatformUnavailable>(&result)) {
        return *unavailable;
    }
    const auto &answer = std::get<Answer>(result);
    if (answer.status != status_codes::OK) {
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
    uri_builder uri("/v1/leases");
    uri.append_query("ttl", ttl.count());
    const AnswerResult result = d->send(methods::POST, uri);
    if (const auto *unavailable = std::get_if<PlatformUnavailable>(&result)) {
        return *unavailable;
    }
    const auto &answer = std::get<Answer>(result);
    if (answer.status != status_codes::OK) {
        return unexpectedStatus(answer);
    }
    return LeaseId(answer.version);
}

LeaseResult HttpKeyValue::renewLease(LeaseId lease)
{
    uri_builder uri("/v1/leases");
    uri.append_query("lease", lease.value());
    const AnswerResult result = d->send(methods::PUT, uri);
    if (const auto *unavailable = std::get_if<PlatformUnavailable>(&result)) {
        return *unavailable;
    }
    const auto &answer = std::get<Answer>(result);
    if (answer.status == status_codes::NotFound) {
        return KeyNotFound{};
    }
    if (answer.status != status_codes::OK) {
        return unexpectedStatus(answer);
    }
    return lease;
}

WatchResult HttpKeyValue::watch(const std::string &prefix, KeyVersion after, base::Milliseconds wait)
{
    uri_builder uri("/v1/watch");
    uri.append_query("prefix", prefix).append_query("after", after.value()).append_query("wait", wait.count());
    const AnswerResult result = d->sendLongPoll(uri, wait);
    if (const auto *unavailable = std::get_if<PlatformUnavailable>(&result)) {
        return *unavailable;
    }
    const auto &answer = std::get<Answer>(result);
    if (answer.status != status_codes::OK) {
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
