#include "platformdeployment.h"

#include <unistd.h>

#include <CppUTest/TestHarness.h>

namespace briarhinge::tests
{

namespace
{

constexpr std::chrono::seconds waitTimeout{12};
constexpr int portsPerDeployment = 64;

/** Picks ports below the ephemeral range, which the kernel uses for outgoing connections. */
std::uint16_t allocatePorts()
{
    static int deployments = 0;
    constexpr int lowest = 10'000;
    constexpr int range = 20'000;
    return static_cast<std::uint16_t>(lowest + (::getpid() * 997 + deployments++ * portsPerDeployment) % range);
}

}

PlatformDeployment::PlatformDeployment(int turnStores, SettingsChange customize)
    : m_firstPort(allocatePorts())
    , m_customize(std::move(customize))
    , store(context, addressAt(0))
    , model(context, addressAt(1), "i-model")
    , toolOne(context, addressAt(2), "i-tool-1")
    , toolTwo(context, addressAt(3), "i-tool-2")
    , m_log("test")
{
    store.put("op/config", routing(3));
    store.put("servers/i-model", model.registration("chat"));
    store.put("servers/i-tool-1", toolOne.registration("tools"));
    store.put("servers/i-tool-2", toolTwo.registration("tools"));
    m_turnStores.resize(static_cast<std::size_t>(turnStores));
    for (std::size_t i = 0; i < m_turnStores.size(); ++i) {
        startTurnStore(i, true);
    }
    m_entries.resize(entryCount);
    for (std::size_t i = 0; i < entryCount; ++i) {
        startEntry(i);
    }
    if (turnStores > 0) {
        CHECK(runUntil([this] {
            return isGroupStable(1);
        }));
        runFor(std::chrono::milliseconds(300));
    }
}

wire::Address PlatformDeployment::addressAt(int offset) const
{
    return {"127.0.0.1", static_cast<std::uint16_t>(m_firstPort + offset)};
}

std::string PlatformDeployment::routing(int version)
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[
{"name":"turns","host":"h","prefix":"/turn/","kind":"streaming","timeout_ms":4000,"target_latency_ms":200,"priority":0,
 "service":"chat","max_attempts":2,"retain_history":true,"retention_s":60.0,"sticky":true},
{"name":"drafts","host":"h","prefix":"/draft/","kind":"streaming","timeout_ms":4000,"target_latency_ms":200,
 "priority":0,"service":"chat","max_attempts":2,"resumable":true,"sticky":true},
{"name":"safe","host":"h","prefix":"/safe/","kind":"safe","timeout_ms":1000,"target_latency_ms":200,"priority":2,
 "service":"tools","max_attempts":2},
{"name":"unsafe","host":"h","prefix":"/unsafe/","kind":"unsafe","timeout_ms":1000,"target_latency_ms":200,
 "priority":2,"service":"tools","max_attempts":2}],
"services":[{"name":"chat","max_connections":50,"engine":{"slots":4,"kv_cache_tokens":50000,"tokens_per_event":10}},
{"name":"tools","max_connections":50}],
"limits":{"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";
}

platform::NodeSettings PlatformDeployment::nodeSettings(const std::string &name, int index) const
{
    platform::NodeSettings settings;
    settings.name = name + "-" + std::to_string(index);
    settings.ip = "127.0.0.1";
    settings.zone = base::ZoneName("z");
    settings.storeAddress = addressAt(0);
    settings.toleratedDiskLosses = 1;
    if (m_customize) {
        m_customize(settings);
    }
    return settings;
}

void PlatformDeployment::startTurnStore(std::size_t index, bool hasNewDisk)
{
    TurnStoreProcess &process = m_turnStores[index];
    if (hasNewDisk) {
        process.folder = std::make_unique<TemporaryFolder>();
    }
    auto settings = nodeSettings("store", static_cast<int>(index));
    settings.dataFolder = process.folder->path();
    settings.firstInternalPort = addressAt(10 + static_cast<int>(index)).port;
    settings.seedListenAddress = addressAt(40 + static_cast<int>(index));
    process.node = std::make_unique<node::StoreNode>(context, settings, m_log);
    STRCMP_EQUAL("", process.node->start().c_str());
}

void PlatformDeployment::killTurnStore(std::size_t index)
{
    m_turnStores[index].node->abort();
    // Handlers that are already posted still refer to the node.
    runFor(std::chrono::milliseconds(20));
    m_turnStores[index].node.reset();
}

void PlatformDeployment::startEntry(std::size_t index)
{
    auto settings = nodeSettings("entry", static_cast<int>(index));
    const int ports = 20 + 3 * static_cast<int>(index);
    settings.callerAddress = addressAt(ports);
    settings.readinessAddress = addressAt(ports + 1);
    settings.metricsAddress = addressAt(ports + 2);
    settings.firstInternalPort = addressAt(30 + static_cast<int>(index)).port;
    settings.seedAddresses = {addressAt(40), addressAt(41), addressAt(42)};
    m_entries[index] = std::make_unique<node::EntryNode>(context, settings, m_log);
    STRCMP_EQUAL("", m_entries[index]->start().c_str());
}

bool PlatformDeployment::runUntil(const std::function<bool()> &condition)
{
    const auto end = std::chrono::steady_clock::now() + waitTimeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        context.run_one_for(std::chrono::milliseconds(20));
    }
    return true;
}

void PlatformDeployment::runFor(std::chrono::milliseconds time)
{
    context.run_for(time);
}

void PlatformDeployment::sendOn(const std::shared_ptr<CallerExchange> &exchange, const std::string &request)
{
    http::ResponseHandlers handlers;
    handlers.onHead = [exchange](const http::ResponseHead &head) {
        exchange->status = head.status;
        exchange->headers = head.headers;
        return http::HeadAction::Accept;
    };
    handlers.onBody = [exchange](std::string_view chunk) {
        exchange->body += chunk;
    };
    handlers.onEnd = [exchange](const http::ResponseEnd &end) {
        exchange->isFinished = true;
        exchange->isComplete = end.ending == http::Ending::Delimited;
    };
    exchange->connection->send(request, false, std::move(handlers));
}

std::shared_ptr<CallerExchange> PlatformDeployment::sendTo(const wire::Address &address, const std::string &request)
{
    auto exchange = std::make_shared<CallerExchange>();
    http::ClientConnection::connect(context, address, std::chrono::milliseconds(1000), std::chrono::milliseconds(5000),
                                    [exchange, request](auto result) {
                                        auto *connection =
                                            std::get_if<std::shared_ptr<http::ClientConnection>>(&result);
                                        if (connection == nullptr) {
                                            exchange->isFinished = true;
                                            return;
                                        }
                                        exchange->connection = *connection;
                                        sendOn(exchange, request);
                                    });
    return exchange;
}

std::shared_ptr<CallerExchange> PlatformDeployment::waitUntilFinished(const std::shared_ptr<CallerExchange> &exchange)
{
    CHECK(runUntil([&exchange] {
        return exchange->isFinished;
    }));
    return exchange;
}

std::shared_ptr<CallerExchange> PlatformDeployment::send(std::size_t entry, const std::string &request)
{
    return sendTo(addressAt(20 + 3 * static_cast<int>(entry)), request);
}

std::shared_ptr<CallerExchange> PlatformDeployment::sendAndWait(std::size_t entry, const std::string &request)
{
    return waitUntilFinished(send(entry, request));
}

std::shared_ptr<CallerExchange>
PlatformDeployment::sendAndWaitOnConnection(const std::shared_ptr<CallerExchange> &earlier, const std::string &request)
{
    auto exchange = std::make_shared<CallerExchange>();
    exchange->connection = earlier->connection;
    sendOn(exchange, request);
    return waitUntilFinished(exchange);
}

bool PlatformDeployment::isReady(std::size_t entry)
{
    const auto address = addressAt(21 + 3 * static_cast<int>(entry));
    return waitUntilFinished(sendTo(address, "GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n"))->status == 200;
}

std::string PlatformDeployment::turn(const std::string &id, const std::string &fields, const std::string &body,
                                     const std::string &path)
{
    return "POST " + path + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id
        + "\r\nX-Program-Id: p\r\nX-Token-Usage: 100,40\r\nX-Deadline-Remaining: 3000\r\n" + fields
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string PlatformDeployment::call(const std::string &method, const std::string &path, const std::string &id,
                                     const std::string &fields)
{
    return method + " " + path + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id + "\r\n" + fields + "\r\n";
}

bool PlatformDeployment::isGroupStable(std::uint64_t epoch) const
{
    const auto group = turns::parseStoreGroup(store.value(std::string(turns::groupKey)));
    return group && group->next.empty() && group->epoch.value() >= epoch;
}

void PlatformDeployment::restartEntry(std::size_t index)
{
    m_entries[index]->abort();
    runFor(std::chrono::milliseconds(20));
    m_entries[index].reset();
    startEntry(index);
    runFor(std::chrono::milliseconds(300));
}

}
