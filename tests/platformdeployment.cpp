#include "platformdeployment.h"

#include <unistd.h>

#include <CppUTest/TestHarness.h>

namespace briarhinge::tests
{

namespace
{

constexpr std::chrono::seconds patience{12};
constexpr int portsOfDeployment = 64;

/** Below the ports that the kernel gives to outgoing connections. */
std::uint16_t newPorts()
{
    static int deployments = 0;
    constexpr int lowest = 10'000;
    constexpr int range = 20'000;
    return static_cast<std::uint16_t>(lowest + (::getpid() * 997 + deployments++ * portsOfDeployment) % range);
}

}

PlatformDeployment::PlatformDeployment(int turnStores)
    : m_firstPort(newPorts())
    , store(context, addressAt(0))
    , model(context, addressAt(1), "i-model")
    , toolOne(context, addressAt(2), "i-tool-1")
    , toolTwo(context, addressAt(3), "i-tool-2")
    , m_log("test")
{
    store.put("op/config", routing(3));
    store.put("servers/i-model", model.entry("chat"));
    store.put("servers/i-tool-1", toolOne.entry("tools"));
    store.put("servers/i-tool-2", toolTwo.entry("tools"));
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
            return isGroupSteady(1);
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
{"name":"safe","host":"h","prefix":"/safe/","kind":"safe","timeout_ms":1000,"target_latency_ms":200,"priority":2,
 "service":"tools","max_attempts":2},
{"name":"unsafe","host":"h","prefix":"/unsafe/","kind":"unsafe","timeout_ms":1000,"target_latency_ms":200,
 "priority":2,"service":"tools","max_attempts":2}],
"services":[{"name":"chat","max_connections":50,"engine":{"slots":4,"kv_cache_tokens":50000,"tokens_per_event":10}},
{"name":"tools","max_connections":50}],
"limits":{"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";
}

platform::NodeSettings PlatformDeployment::settingsOf(const std::string &name, int index) const
{
    platform::NodeSettings settings;
    settings.name = name + "-" + std::to_string(index);
    settings.ip = "127.0.0.1";
    settings.zone = base::ZoneName("z");
    settings.store = addressAt(0);
    settings.toleratedLosses = 1;
    return settings;
}

void PlatformDeployment::startTurnStore(std::size_t index, bool isEmpty)
{
    TurnStoreProcess &process = m_turnStores[index];
    if (isEmpty) {
        process.folder = std::make_unique<TemporaryFolder>();
    }
    auto settings = settingsOf("store", static_cast<int>(index));
    settings.dataFolder = process.folder->path();
    settings.firstPort = addressAt(10 + static_cast<int>(index)).port;
    settings.seedListen = addressAt(40 + static_cast<int>(index));
    process.node = std::make_unique<node::StoreNode>(context, settings, m_log);
    STRCMP_EQUAL("", process.node->start().c_str());
}

void PlatformDeployment::killTurnStore(std::size_t index)
{
    m_turnStores[index].node->abandon();
    // Handlers that are posted already still refer to the node.
    runFor(std::chrono::milliseconds(20));
    m_turnStores[index].node.reset();
}

void PlatformDeployment::startEntry(std::size_t index)
{
    auto settings = settingsOf("entry", static_cast<int>(index));
    const int ports = 20 + 3 * static_cast<int>(index);
    settings.callers = addressAt(ports);
    settings.readiness = addressAt(ports + 1);
    settings.metrics = addressAt(ports + 2);
    settings.firstPort = addressAt(30 + static_cast<int>(index)).port;
    settings.seeds = {addressAt(40), addressAt(41), addressAt(42)};
    m_entries[index] = std::make_unique<node::EntryNode>(context, settings, m_log);
    STRCMP_EQUAL("", m_entries[index]->start().c_str());
}

bool PlatformDeployment::runUntil(const std::function<bool()> &what)
{
    const auto end = std::chrono::steady_clock::now() + patience;
    while (!what()) {
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

void PlatformDeployment::sendOn(const std::shared_ptr<Asked> &asked, const std::string &request)
{
    http::ResponseHandlers handlers;
    handlers.onHead = [asked](const http::ResponseHead &head) {
        asked->status = head.status;
        asked->headers = head.headers;
        return http::HeadAction::Accept;
    };
    handlers.onBody = [asked](std::string_view piece) {
        asked->body += piece;
    };
    handlers.onEnd = [asked](http::ResponseOutcome ending) {
        asked->isOver = true;
        asked->isWhole = ending == http::ResponseOutcome::Complete;
    };
    asked->connection->send(request, false, std::move(handlers));
}

std::shared_ptr<Asked> PlatformDeployment::sendTo(const wire::Address &address, const std::string &request)
{
    auto asked = std::make_shared<Asked>();
    http::ClientConnection::connect(context, address, std::chrono::milliseconds(1000), std::chrono::milliseconds(5000),
                                    [asked, request](auto result) {
                                        auto *connection =
                                            std::get_if<std::shared_ptr<http::ClientConnection>>(&result);
                                        if (connection == nullptr) {
                                            asked->isOver = true;
                                            return;
                                        }
                                        asked->connection = *connection;
                                        sendOn(asked, request);
                                    });
    return asked;
}

std::shared_ptr<Asked> PlatformDeployment::finished(const std::shared_ptr<Asked> &asked)
{
    CHECK(runUntil([&asked] {
        return asked->isOver;
    }));
    return asked;
}

std::shared_ptr<Asked> PlatformDeployment::send(std::size_t entry, const std::string &request)
{
    return sendTo(addressAt(20 + 3 * static_cast<int>(entry)), request);
}

std::shared_ptr<Asked> PlatformDeployment::ask(std::size_t entry, const std::string &request)
{
    return finished(send(entry, request));
}

std::shared_ptr<Asked> PlatformDeployment::askAgain(const std::shared_ptr<Asked> &earlier, const std::string &request)
{
    auto asked = std::make_shared<Asked>();
    asked->connection = earlier->connection;
    sendOn(asked, request);
    return finished(asked);
}

bool PlatformDeployment::isReady(std::size_t entry)
{
    const auto address = addressAt(21 + 3 * static_cast<int>(entry));
    return finished(sendTo(address, "GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n"))->status == 200;
}

std::string PlatformDeployment::turn(const std::string &id, const std::string &fields, const std::string &body)
{
    return "POST /turn/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id
        + "\r\nX-Program-Id: p\r\nX-Token-Usage: 100,40\r\nX-Deadline-Remaining: 3000\r\n" + fields
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string PlatformDeployment::call(const std::string &method, const std::string &path, const std::string &id,
                                     const std::string &fields)
{
    return method + " " + path + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id + "\r\n" + fields + "\r\n";
}

bool PlatformDeployment::isGroupSteady(std::uint64_t epoch) const
{
    const auto group = turns::parseStoreGroup(store.value(std::string(turns::groupKey)));
    return group && group->next.empty() && group->epoch.value() >= epoch;
}

void PlatformDeployment::restartEntry(std::size_t index)
{
    m_entries[index]->abandon();
    runFor(std::chrono::milliseconds(20));
    m_entries[index].reset();
    startEntry(index);
    runFor(std::chrono::milliseconds(300));
}

}
