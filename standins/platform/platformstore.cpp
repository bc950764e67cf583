#include "platform/platformstore.h"

#include "platform/listenerresources.h"

#include <iterator>
#include <stdexcept>

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

namespace standins::platform
{

using briarhinge::http::IncomingRequest;
using briarhinge::http::OutgoingResponseHead;
using nlohmann::json;

namespace
{

constexpr std::size_t maxPageItems = 3;

std::string encodeBase64(const std::string &bytes)
{
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    text.resize(static_cast<std::size_t>(EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                                         reinterpret_cast<const unsigned char *>(bytes.data()),
                                                         static_cast<int>(bytes.size()))));
    return text;
}

std::string decodeBase64(const std::string &text)
{
    std::string bytes(text.size(), '\0');
    const int size =
        EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()),
                        reinterpret_cast<const unsigned char *>(text.data()), static_cast<int>(text.size()));
    if (size < 0) {
        throw std::invalid_argument("not base64");
    }
    std::size_t length = static_cast<std::size_t>(size);
    for (std::size_t i = text.size(); i > 0 && text[i - 1] == '='; --i) {
        --length;
    }
    bytes.resize(length);
    return bytes;
}

std::string percentDecoded(std::string_view text)
{
    constexpr int hexadecimal = 16;
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            result += static_cast<char>(std::stoi(std::string(text.substr(i + 1, 2)), nullptr, hexadecimal));
            i += 2;
        } else {
            result += text[i];
        }
    }
    return result;
}

std::map<std::string, std::string> parseQuery(std::string_view target)
{
    std::map<std::string, std::string> query;
    const std::size_t mark = target.find('?');
    std::string_view remaining = mark == std::string_view::npos ? std::string_view() : target.substr(mark + 1);
    while (!remaining.empty()) {
        const std::string_view pair = remaining.substr(0, remaining.find('&'));
        remaining.remove_prefix(std::min(pair.size() + 1, remaining.size()));
        const std::size_t equals = pair.find('=');
        if (equals != std::string_view::npos) {
            query[std::string(pair.substr(0, equals))] = percentDecoded(pair.substr(equals + 1));
        }
    }
    return query;
}

void reply(const std::shared_ptr<briarhinge::http::ServerConnection> &connection, unsigned status, const json &body)
{
    OutgoingResponseHead head{status, {}};
    head.headers.add("Content-Type", "application/json");
    connection->respond(head, body.dump());
}

template <class ItemT>
json itemJson(const std::string &key, const ItemT &item)
{
    return {{"key", key},
            {"value", encodeBase64(item.value)},
            {"revision", item.revision},
            {"created", item.created},
            {"lease", 0}};
}

}

PlatformStore::PlatformStore(boost::asio::io_context &context, const briarhinge::wire::Address &address)
    : m_context(context)
    , m_listener(
          context,
          [] {
              return briarhinge::http::ServerLimits{};
          },
          unlimitedResources(),
          [this](const Connection &connection, const IncomingRequest &request) {
              handle(connection, request);
          })
{
    const std::string error = m_listener.listen(address);
    if (!error.empty()) {
        throw std::runtime_error(error);
    }
}

void PlatformStore::put(const std::string &key, const std::string &value)
{
    Item &item = m_items[key];
    item.value = value;
    item.revision = ++m_revision;
    item.created = item.created == 0 ? item.revision : item.created;
    m_events.push_back({key, item.revision, false, item});
    m_revisions[std::chrono::steady_clock::now()] = m_revision;
    answerWatches();
}

void PlatformStore::remove(const std::string &key)
{
    if (m_items.erase(key) > 0) {
        m_events.push_back({key, ++m_revision, true, {}});
        m_revisions[std::chrono::steady_clock::now()] = m_revision;
        answerWatches();
    }
}

std::string PlatformStore::value(const std::string &key) const
{
    const auto found = m_items.find(key);
    return found == m_items.end() ? std::string() : found->second.value;
}

void PlatformStore::setFault(StoreFault fault)
{
    m_fault = fault;
    if (fault == StoreFault::None) {
        return;
    }
    if (fault == StoreFault::Silent || fault == StoreFault::TooMany) {
        loseWatchAnswers();
        return;
    }
    for (const Watch &watch : m_watches) {
        watch.connection->abort();
    }
    m_watches.clear();
}

void PlatformStore::dropAnswers(int count)
{
    m_answersToDrop = count;
}

void PlatformStore::loseWatchAnswers()
{
    m_lostWatches.splice(m_lostWatches.end(), m_watches);
}

void PlatformStore::loseNextWatchAnswers(int count)
{
    m_watchAnswersToLose = count;
}

void PlatformStore::setStaleness(std::chrono::milliseconds staleness)
{
    m_staleness = staleness;
}

std::uint64_t PlatformStore::revisionAt(std::chrono::steady_clock::time_point time) const
{
    const auto later = m_revisions.upper_bound(time);
    return later == m_revisions.begin() ? 1 : std::prev(later)->second;
}

void PlatformStore::discardHistory()
{
    m_events.clear();
    m_historyStart = m_revision + 1;
    m_revision += 1;
    for (const Watch &watch : m_watches) {
        watch.connection->abort();
    }
    m_watches.clear();
}

int PlatformStore::reads() const
{
    return m_reads;
}

int PlatformStore::conflicts() const
{
    return m_conflicts;
}

void PlatformStore::handle(const Connection &connection, const IncomingRequest &request)
{
    if (m_fault == StoreFault::Unresponsive || m_fault == StoreFault::Silent) {
        return;
    }
    if (m_fault == StoreFault::TooMany) {
        reply(connection, 429, {});
        return;
    }
    if (m_fault == StoreFault::Unavailable) {
        reply(connection, 503, {});
        return;
    }
    const std::string path = request.target.substr(0, request.target.find('?'));
    const Query query = parseQuery(request.target);
    m_reads += path == "/-/kv-txn" ? 0 : 1;
    if (path == "/-/kv-range") {
        range(connection, query);
    } else if (path == "/-/kv-key") {
        key(connection, query);
    } else if (path == "/-/kv-watch") {
        watch(connection, query);
    } else if (path == "/-/kv-txn") {
        transact(connection, request.body);
    } else {
        reply(connection, 404, {});
    }
}

void PlatformStore::range(const Connection &connection, const Query &query) const
{
    const std::string &prefix = query.at("prefix");
    const auto after = query.find("after");
    json items = json::array();
    bool hasMore = false;
    for (const auto &[name, item] : m_items) {
        if (!name.starts_with(prefix) || (after != query.end() && name <= after->second)) {
            continue;
        }
        hasMore = items.size() == maxPageItems;
        if (hasMore) {
            break;
        }
        items.push_back(itemJson(name, item));
    }
    const bool isStale = query.contains("serializable");
    const std::uint64_t at = isStale ? revisionAt(std::chrono::steady_clock::now() - m_staleness) : m_revision;
    reply(connection, 200, {{"items", items}, {"has_more", hasMore}, {"at", at}});
}

void PlatformStore::key(const Connection &connection, const Query &query) const
{
    const auto found = m_items.find(query.at("key"));
    if (found == m_items.end()) {
        reply(connection, 404, {});
        return;
    }
    json body = itemJson(found->first, found->second);
    body["at"] = m_revision;
    reply(connection, 200, body);
}

std::string PlatformStore::eventsAfter(const std::string &prefix, std::uint64_t after, bool &hasEvents) const
{
    json events = json::array();
    for (const Event &event : m_events) {
        if (event.revision <= after || !event.key.starts_with(prefix)) {
            continue;
        }
        events.push_back(event.isRemoved ? json{{"key", event.key}, {"revision", event.revision}, {"deleted", true}}
                                         : itemJson(event.key, event.item));
    }
    hasEvents = !events.empty();
    return json{{"events", events}, {"at", m_revision}}.dump();
}

void PlatformStore::watch(const Connection &connection, const Query &query)
{
    const std::uint64_t after = std::stoull(query.at("after"));
    if (after < m_historyStart) {
        reply(connection, 410, {});
        return;
    }
    auto timer = std::make_unique<boost::asio::steady_timer>(
        m_context, std::chrono::milliseconds(std::stoll(query.at("wait_ms"))));
    timer->async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            answerWatches();
        }
    });
    m_watches.push_back({connection, query.at("prefix"), after, std::move(timer)});
    answerWatches();
}

void PlatformStore::answerWatches()
{
    const auto now = std::chrono::steady_clock::now();
    for (auto watch = m_watches.begin(); watch != m_watches.end();) {
        bool hasEvents = false;
        const std::string body = eventsAfter(watch->prefix, watch->after, hasEvents);
        if (!hasEvents && now < watch->timer->expiry()) {
            ++watch;
            continue;
        }
        if (m_watchAnswersToLose > 0) {
            --m_watchAnswersToLose;
            m_lostWatches.splice(m_lostWatches.end(), m_watches, watch++);
            continue;
        }
        watch->connection->respond({200, {}}, body);
        watch = m_watches.erase(watch);
    }
}

void PlatformStore::transact(const Connection &connection, const std::string &body)
{
    const json document = json::parse(body);
    json currentItems = json::array();
    bool hasExpectedRevisions = true;
    for (const json &row : document.at("expected_rev")) {
        const std::string name = row.at("key");
        const auto found = m_items.find(name);
        const std::uint64_t revision = found == m_items.end() ? 0 : found->second.revision;
        hasExpectedRevisions = hasExpectedRevisions && revision == row.at("revision").get<std::uint64_t>();
        currentItems.push_back(found == m_items.end() ? json{{"key", name}, {"revision", 0}}
                                                      : itemJson(name, found->second));
    }
    if (!hasExpectedRevisions) {
        ++m_conflicts;
        reply(connection, 412, {{"items", currentItems}, {"at", m_revision}});
        return;
    }
    for (const json &entry : document.at("puts")) {
        put(entry.at("key"), decodeBase64(entry.at("value")));
    }
    for (const json &name : document.at("remove")) {
        remove(name);
    }
    if (m_answersToDrop > 0) {
        --m_answersToDrop;
        return;
    }
    reply(connection, 200, {{"revision", m_revision}});
}

}
