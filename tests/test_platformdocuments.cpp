#include "platform/documents.h"
#include "platform/nodesettings.h"
#include "platform/wireformat.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace briarhinge;
using namespace briarhinge::platform;

namespace
{

const std::string settingsText = R"(
node_name = "edge-a-1"
ip = "10.1.0.38"
zone = "a"
internal_ports = [7380,7395]
bootstrap = true
something_new = { x = 1 }
[listen_addrs]
front = "10.1.0.38:8149"
ready = "10.1.0.38:8141"
[fault_tolerance]
machines = 2
[timing_bounds]
grace_s = 6
config_apply_ms = 3000
[platform]
address = "10.200.1.7:8142"
)";

const std::string routingText = R"({"version":7,"routes":[
{"name":"r1","host":"h.example","prefix":"/a/","kind":"streaming","timeout_ms":4000,"target_latency_ms":200,"priority":0,
 "service":"s1","max_attempts":2,"retain_history":true,"retention_s":60.0},
{"name":"r2","host":"h.example","prefix":"/a/b/","kind":"safe","timeout_ms":1200.0,"priority":2,
 "traffic_split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"max_attempts":3},
{"name":"r3","host":"h.example","prefix":"/c/","kind":"of another day","timeout_ms":900,"service":"s2"}],
"services":[{"name":"s1","max_connections":200,"engine":{"slots":24,"kv_cache_tokens":152773,"tokens_per_event":11}},
{"name":"s2","max_connections":100}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";

const std::string runnerText = R"({"service":"s1","address":"10.128.0.9:8080","zone":"a","version":"v1","slots":24,
"state":"ready","cold_remaining_ms":0,"sequence":4,"born":1785000000000})";

std::string replaced(std::string text, const std::string &part, const std::string &by)
{
    const std::size_t at = text.find(part);
    CHECK(at != std::string::npos);
    return text.replace(at, part.size(), by);
}

http::IncomingRequest incomingTurn()
{
    http::IncomingRequest incoming;
    incoming.method = "POST";
    incoming.target = "/a/4b?x=1";
    incoming.body = "new";
    incoming.headers.add("Host", "h.example:80");
    incoming.headers.add("X-Request-Id", "r-1");
    incoming.headers.add("X-Program-Id", "p-1");
    incoming.headers.add("X-Program-Deadline", "-350");
    incoming.headers.add("X-Token-Budget", "2320");
    incoming.headers.add("X-Token-Usage", "1840,290");
    incoming.headers.add("X-Previous-Turn", "t-0");
    incoming.headers.add("X-Prompt-Prefix", "5c:800, 91:410");
    incoming.headers.add("X-Deadline-Remaining", "4000");
    return incoming;
}

requests::CallerRequest decoded(http::IncomingRequest incoming)
{
    return std::get<requests::CallerRequest>(WireFormat::decode(std::move(incoming)));
}

std::string encoded(const http::IncomingRequest &incoming)
{
    return WireFormat::encode(decoded(incoming), "before ", dispatch::RunnerId("i-1"), base::Milliseconds(70),
                              requests::Urgency(3));
}

}

TEST_GROUP(NodeSettings){};

TEST(NodeSettings, areReadAndUnknownOnesAreIgnored)
{
    const auto read = parseNodeSettings(settingsText);
    const auto &settings = std::get<NodeSettings>(read);
    STRCMP_EQUAL("edge-a-1", settings.name.c_str());
    LONGS_EQUAL(7380, settings.firstInternalPort);
    LONGS_EQUAL(2, settings.toleratedDiskLosses);
    LONGS_EQUAL(6000, settings.stopTimeout.count());
    LONGS_EQUAL(3000, settings.changeTimeLimit.count());
    STRCMP_EQUAL("10.1.0.38:8149", wire::toString(*settings.callerAddress).c_str());
    CHECK(settings.dataFolder.empty());
}

TEST(NodeSettings, everyErrorNamesItsKeyAndValue)
{
    const auto read = parseNodeSettings(
        replaced(replaced(settingsText, "\"10.200.1.7:8142\"", "\"nowhere\""), "[7380,7395]", "[9,2]"));
    const auto &messages = std::get<NodeSettingsErrors>(read).messages;
    LONGS_EQUAL(2, messages.size());
    STRCMP_CONTAINS("internal_ports", messages[0].c_str());
    STRCMP_CONTAINS("platform.address must be IP:PORT, but is \"nowhere\"", messages[1].c_str());
    CHECK(std::holds_alternative<NodeSettingsErrors>(parseNodeSettings("zone = ")));
    CHECK(std::holds_alternative<NodeSettingsErrors>(readNodeSettings("/nonexistent/node.toml")));
}

TEST_GROUP(RoutingDocument){};

TEST(RoutingDocument, theLongestPrefixOfTheHostDecides)
{
    const auto routing = parseRouting(routingText);
    CHECK(routing != nullptr);
    LONGS_EQUAL(7, routing->version().value());
    STRCMP_EQUAL("r2", routing->find("h.example", "/a/b/c")->name.value().c_str());
    STRCMP_EQUAL("r1", routing->find("h.example", "/a/bc")->name.value().c_str());
    POINTERS_EQUAL(nullptr, routing->find("h.example", "/a"));
    POINTERS_EQUAL(nullptr, routing->find("other.example", "/a/b/c"));
}

// Guards against stored turns that are given up before their route's retention has passed.
TEST(RoutingDocument, theLongestRetentionOfARouteThatStoresTurnsCounts)
{
    const auto longest = [](const std::string &text) {
        return static_cast<int>(parseRouting(text)->longestRetention().count());
    };
    LONGS_EQUAL(60'000, longest(routingText));
    LONGS_EQUAL(100'500, longest(replaced(routingText, "60.0", "100.5")));
    LONGS_EQUAL(0, longest(replaced(routingText, "60.0", "null")));
    LONGS_EQUAL(0, longest(replaced(routingText, "true", "false")));
    const std::string others = R"({"name":"r4","host":"g.example","prefix":"/d/","kind":"streaming","timeout_ms":900,
"service":"s1","retain_history":true,"retention_s":7200},)";
    LONGS_EQUAL(7'200'000, longest(replaced(routingText, R"({"name":"r2")", others + R"({"name":"r2")")));
}

TEST(RoutingDocument, anUnknownKindRunsAtMostOnce)
{
    const auto routing = parseRouting(routingText);
    CHECK(routing->find("h.example", "/c/")->kind == requests::RouteKind::Once);
    CHECK(routing->find("h.example", "/a/b/")->kind == requests::RouteKind::Idempotent);
    CHECK(routing->find("h.example", "/a/")->kind == requests::RouteKind::Stream);
}

TEST(RoutingDocument, trafficIsSplitByWeightAndAProgramStaysWithItsService)
{
    const auto routing = parseRouting(routingText);
    const requests::Route *route = routing->find("h.example", "/a/b/");
    int first = 0;
    constexpr int programs = 1000;
    for (int i = 0; i < programs; ++i) {
        const std::string key = "program-" + std::to_string(i);
        const auto &service = requests::chooseService(*route, key);
        CHECK(service == requests::chooseService(*route, key));
        first += service.value() == "s1" ? 1 : 0;
    }
    CHECK(first > programs * 85 / 100);
    CHECK(first < programs * 95 / 100);
}

TEST(RoutingDocument, malformedDocumentsAreRejected)
{
    POINTERS_EQUAL(nullptr, parseRouting("").get());
    POINTERS_EQUAL(nullptr, parseRouting(replaced(routingText, "\"version\":7,", "")).get());
    POINTERS_EQUAL(nullptr, parseRouting(replaced(routingText, "\"/a/\"", "4")).get());
}

TEST_GROUP(RunnerDocument){};

TEST(RunnerDocument, aValidEntryIsParsed)
{
    const auto runner = parseRunner("i-1", runnerText);
    CHECK(runner.has_value());
    STRCMP_EQUAL("i-1", runner->id.value().c_str());
    LONGS_EQUAL(24, runner->slots);
    LONGS_EQUAL(1785000000000, runner->startedAt);
    CHECK_FALSE(runner->isDraining);
}

TEST(RunnerDocument, malformedEntriesAreRejected)
{
    CHECK_FALSE(parseRunner("i", replaced(runnerText, "\"slots\":24", "\"slots\":\"24\"")).has_value());
    CHECK_FALSE(parseRunner("i", replaced(runnerText, "\"ready\"", "\"warming\"")).has_value());
    CHECK_FALSE(parseRunner("i", replaced(runnerText, "\"sequence\":4,", "")).has_value());
    CHECK_FALSE(parseRunner("i", replaced(runnerText, "1785000000000", "1785000000000.5")).has_value());
    CHECK_FALSE(parseRunner("i", replaced(runnerText, ":8080", "")).has_value());
    CHECK_FALSE(parseRunner("i", "\xff\xfe").has_value());
    CHECK_FALSE(parseRunner("i", "[]").has_value());
}

// Guards against an odd entry of another writer that ends the processes which read it.
TEST(RunnerDocument, entriesOutOfBoundsAreRejected)
{
    const std::string deep = std::string(200'000, '[') + std::string(200'000, ']');
    for (const std::string &odd :
         {deep, replaced(runnerText, "\"slots\":24", "\"slots\":24,\"x\":" + deep),
          replaced(runnerText, "\"slots\":24", "\"slots\":" + deep),
          replaced(runnerText, "\"slots\":24", "\"slots\":18446744073709551615"),
          replaced(runnerText, "\"slots\":24", "\"slots\":4294967320"),
          replaced(runnerText, "\"slots\":24", "\"slots\":1e400"), replaced(runnerText, "\"slots\":24", "\"slots\":-1"),
          replaced(runnerText, ":8080", ":0"), replaced(runnerText, ":8080", ":65536"),
          replaced(runnerText, ":8080", ":-1"), replaced(runnerText, ":8080", ":99999999999999999999")}) {
        CHECK_FALSE_TEXT(parseRunner("i", odd).has_value(), odd.substr(0, 200).c_str());
    }
}

TEST(RoutingDocument, documentsOutOfBoundsAreRejected)
{
    const std::string deep = std::string(200'000, '[') + std::string(200'000, ']');
    const std::string odd = "{\"version\":1,\"routes\":[],\"services\":[],\"limits\":" + deep + "}";
    CHECK(parseRouting(odd) == nullptr);
    STRCMP_EQUAL("", withoutKeys(odd).c_str());
    STRCMP_EQUAL("", withoutKeys("{\"tenants\":[{\"name\":" + deep + "}]}").c_str());
}

TEST(RunnerDocument, noInputCrashesTheParsers)
{
    CHECK(rc::check("any text", [] {
        auto text = runnerText;
        const auto cuts = *rc::gen::container<std::vector<std::pair<std::uint8_t, char>>>(
            rc::gen::arbitrary<std::pair<std::uint8_t, char>>());
        for (const auto &[place, letter] : cuts) {
            text[place % text.size()] = letter;
        }
        parseRunner("i", text);
        parseRouting(text);
        parseNodeSettings(text);
    }));
}

TEST_GROUP(WireFormat){};

TEST(WireFormat, aTurnIsRead)
{
    const auto request = decoded(incomingTurn());
    STRCMP_EQUAL("r-1", request.id.value().c_str());
    STRCMP_EQUAL("h.example", request.host.c_str());
    STRCMP_EQUAL("/a/4b", request.path.c_str());
    LONGS_EQUAL(2320, request.programBudget->value());
    LONGS_EQUAL(-350, request.programTimeLeft->count());
    LONGS_EQUAL(1840, request.promptTokens.value());
    LONGS_EQUAL(290, request.maxTokens.value());
    STRCMP_EQUAL("t-0", request.previousTurn.value().c_str());
    LONGS_EQUAL(2, request.promptBlocks.size());
    LONGS_EQUAL(410, request.promptBlocks[1].tokens.value());
    LONGS_EQUAL(4000, request.timeout->count());
}

TEST(WireFormat, reservedFieldsAreNotForwarded)
{
    auto incoming = incomingTurn();
    for (const std::string name : {"X-Cache-Hold", "x-cache-pin-time", "X-Cache-Backup", "KV-FROM", "Kv-Fetch",
                                   "X-Expect-Instance", "X-Request-Urgency", "Keep-Alive", "Transfer-Encoding"}) {
        incoming.headers.add(name, "theirs");
    }
    incoming.headers.add("Connection", "close, X-Hop");
    incoming.headers.add("X-Hop", "theirs");
    incoming.headers.add("X-Else", "kept");
    const std::string bytes = encoded(incoming);
    STRCMP_CONTAINS("X-Else: kept\r\n", bytes.c_str());
    CHECK(bytes.find("theirs") == std::string::npos);
    CHECK(bytes.find("Connection") == std::string::npos);
}

TEST(WireFormat, theRunnerGetsTheChainTheTimeLeftAndItsOwnId)
{
    const std::string bytes = encoded(incomingTurn());
    CHECK(bytes.starts_with("POST /a/4b?x=1 HTTP/1.1\r\nHost: h.example\r\n"));
    STRCMP_CONTAINS("X-Deadline-Remaining: 70\r\n", bytes.c_str());
    STRCMP_CONTAINS("X-Expect-Instance: i-1\r\n", bytes.c_str());
    STRCMP_CONTAINS("X-Request-Id: r-1\r\n", bytes.c_str());
    CHECK(bytes.ends_with("Content-Length: 10\r\n\r\nbefore new"));
}

TEST(WireFormat, aRequestWithoutOneIdIsRefused)
{
    http::IncomingRequest without = incomingTurn();
    without.headers = {};
    without.headers.add("Host", "h");
    CHECK(std::holds_alternative<requests::BadRequest>(WireFormat::decode(without)));
    auto twice = incomingTurn();
    twice.headers.add("x-request-id", "r-2");
    CHECK(std::holds_alternative<requests::BadRequest>(WireFormat::decode(twice)));
}

// Guards against ids of many kilobytes, which the turn stores keep and the answers repeat.
TEST(WireFormat, anIdThatIsTooLongIsRefused)
{
    for (const char *field : {"X-Request-Id", "x-program-id", "X-Previous-Turn"}) {
        const auto isTaken = [field](std::size_t bytes) {
            http::IncomingRequest incoming;
            incoming.target = "/a/";
            incoming.headers.add("Host", "h.example");
            incoming.headers.add(field, std::string(bytes, 'i'));
            if (std::string_view(field) != "X-Request-Id") {
                incoming.headers.add("X-Request-Id", "r-1");
            }
            return std::holds_alternative<requests::CallerRequest>(WireFormat::decode(std::move(incoming)));
        };
        CHECK_TRUE(isTaken(1024));
        CHECK_FALSE(isTaken(1025));
    }
}

TEST(WireFormat, onlyTheRunnersStatementMarksARequestAsNotExecuted)
{
    http::ResponseHead head;
    head.status = 503;
    CHECK_FALSE(WireFormat::decodeResponse(head).isNotRun);
    head.headers.add("X-Not-Executed", "1");
    head.headers.add("X-Server-Load", "3,1,8");
    head.headers.add("Keep-Alive", "timeout=7, max=10");
    const auto refused = WireFormat::decodeResponse(head);
    CHECK(refused.isNotRun);
    LONGS_EQUAL(1, refused.load->waiting);
    LONGS_EQUAL(7000, refused.keepAliveTimeout->count());
    http::ResponseHead other;
    other.status = 421;
    CHECK(WireFormat::decodeResponse(other).isNotRun);
    CHECK(WireFormat::decodeResponse(other).isFromOtherRunner);
}

TEST(WireFormat, aRefusalTellsWhenToRetry)
{
    const auto headers = WireFormat::refusal(base::Milliseconds(250));
    CHECK(headers.find("Retry-After") == std::string_view("0.25"));
}
