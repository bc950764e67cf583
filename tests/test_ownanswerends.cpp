#include "keyvalue/httpkeyvalue.h"
#include "membership/vmlist.h"
#include "platform/scriptedrunner.h"
#include "platform/storeclient.h"
#include "runner/engineupstream.h"
#include "runner/toolupstream.h"

#include <chrono>
#include <future>
#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace briarhinge;
using standins::platform::AnswerEnding;
using standins::platform::ScriptedAnswer;
using standins::platform::ScriptedRunner;

namespace
{

const std::string toolAnswer = R"({"output":"done","cost":3})";
const std::string engineAnswer = "data: {\"choices\":[{\"delta\":{\"content\":\"hi\"}}]}\n\ndata: [DONE]\n\n";
const std::string plainHead = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n";

std::string withLength(const std::string &body)
{
    return plainHead + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string withoutLength(const std::string &body)
{
    return plainHead + "\r\n" + body;
}

/** A server on a thread of its own that gives one answer to all requests. */
class AnswerThread
{
public:
    explicit AnswerThread(const ScriptedAnswer &answer)
        : m_server(m_context,
                   [answer](const std::string &) {
                       return answer;
                   })
        , m_thread([this] {
            m_context.run();
        })
    {
    }

    ~AnswerThread()
    {
        m_context.stop();
        m_thread.join();
        m_context.restart();
    }

    std::size_t sentBytes() const
    {
        return m_server.sentBytes();
    }

    std::string url() const
    {
        return "http://" + wire::toString(m_server.address());
    }

private:
    boost::asio::io_context m_context;
    ScriptedRunner m_server;
    std::thread m_thread;
};

template <class Upstream>
core::Outcome execute(const AnswerThread &server, base::Milliseconds timeout = base::Milliseconds(5000))
{
    Upstream upstream(server.url(), timeout);
    std::promise<core::Outcome> ended;
    runner::UpstreamObserver observer;
    observer.chunk = [](std::size_t, const std::string &) {};
    observer.rateStated = [](const requests::StatedRate &) {};
    observer.ended = [&ended](const core::Outcome &outcome) {
        ended.set_value(outcome);
    };
    const auto cancellation = upstream.execute(runner::UpstreamCall{}, observer);
    return ended.get_future().get();
}

template <class Upstream>
core::Outcome execute(const ScriptedAnswer &answer)
{
    const AnswerThread server(answer);
    return execute<Upstream>(server);
}

template <class Upstream>
bool isCompleted(const std::string &bytes, AnswerEnding ending)
{
    return std::holds_alternative<core::Completed>(execute<Upstream>({{bytes}, ending}));
}

template <class Upstream>
bool isUnknown(const std::string &bytes, AnswerEnding ending)
{
    return std::holds_alternative<core::Unknown>(execute<Upstream>({{bytes}, ending}));
}

}

TEST_GROUP(OwnAnswerEnds){};

// Guards against half of a tool's answer being reported as the tool's failure, though the tool may have done its work.
TEST(OwnAnswerEnds, aToolsAnswerThatBrokeOffIsUnknown)
{
    using runner::ToolUpstream;
    const std::string half = toolAnswer.substr(0, 12);
    CHECK(isCompleted<ToolUpstream>(withLength(toolAnswer), AnswerEnding::KeepOpen));
    CHECK(isCompleted<ToolUpstream>(withoutLength(toolAnswer), AnswerEnding::Close));
    CHECK(isUnknown<ToolUpstream>(withoutLength(half), AnswerEnding::Close));
    CHECK(isUnknown<ToolUpstream>(withoutLength(half), AnswerEnding::Reset));
    CHECK(isUnknown<ToolUpstream>(withoutLength(toolAnswer), AnswerEnding::Reset));
    CHECK(isUnknown<ToolUpstream>(withLength(toolAnswer).substr(0, plainHead.size() + 30), AnswerEnding::Close));
    CHECK(isUnknown<ToolUpstream>(plainHead, AnswerEnding::Close));
}

TEST(OwnAnswerEnds, anEnginesStreamIsCompleteOnlyWithItsEndMark)
{
    using runner::EngineUpstream;
    const std::string half = engineAnswer.substr(0, engineAnswer.size() - 4);
    CHECK(isCompleted<EngineUpstream>(withLength(engineAnswer), AnswerEnding::KeepOpen));
    CHECK(isCompleted<EngineUpstream>(withoutLength(engineAnswer), AnswerEnding::Close));
    CHECK(isUnknown<EngineUpstream>(withLength(half), AnswerEnding::KeepOpen));
    CHECK(isUnknown<EngineUpstream>(withoutLength(half), AnswerEnding::Close));
    CHECK(isUnknown<EngineUpstream>(withoutLength(engineAnswer), AnswerEnding::Reset));
    CHECK(isUnknown<EngineUpstream>(withoutLength(""), AnswerEnding::Close));
}

// Guards against a part of a value being taken for the value.
TEST(OwnAnswerEnds, aValueOfTheKeyValueServiceNeedsALength)
{
    const auto read = [](const std::string &bytes, AnswerEnding ending) {
        const AnswerThread server(ScriptedAnswer{{bytes}, ending});
        return keyvalue::HttpKeyValue(server.url(), base::Milliseconds(1000)).read("k");
    };
    const auto whole = read(withLength("value"), AnswerEnding::KeepOpen);
    CHECK(std::holds_alternative<keyvalue::KeyValue>(whole));
    CHECK(std::holds_alternative<keyvalue::PlatformUnavailable>(read(withoutLength("val"), AnswerEnding::Close)));
    CHECK(std::holds_alternative<keyvalue::PlatformUnavailable>(read(withoutLength("val"), AnswerEnding::Reset)));
}

TEST(OwnAnswerEnds, aListOfVmsIsWholeOnlyWithTheEndOfItsDocument)
{
    const auto read = [](const std::string &bytes, AnswerEnding ending) {
        const AnswerThread server(ScriptedAnswer{{bytes}, ending});
        return membership::VmListClient(server.url(), base::Milliseconds(1000)).read();
    };
    using Vms = std::vector<membership::Vm>;
    CHECK(std::holds_alternative<Vms>(read(withLength(R"({"vms":[]})"), AnswerEnding::KeepOpen)));
    CHECK(std::holds_alternative<Vms>(read(withoutLength(R"({"vms":[]})"), AnswerEnding::Close)));
    CHECK_FALSE(std::holds_alternative<Vms>(read(withoutLength(R"({"vms":[])"), AnswerEnding::Close)));
    CHECK_FALSE(std::holds_alternative<Vms>(read(withoutLength(R"({"vms":[]})"), AnswerEnding::Reset)));
}

// Guards against an answer of the platform's store that broke off being taken for its end.
TEST(OwnAnswerEnds, anAnswerOfThePlatformsStoreIsWholeOnlyWithTheEndOfItsDocument)
{
    const auto list = [](const std::string &bytes, AnswerEnding ending) {
        boost::asio::io_context context;
        ScriptedRunner server(context, [&bytes, ending](const std::string &) {
            return ScriptedAnswer{{bytes}, ending};
        });
        platform::StoreClient client(context, server.address());
        bool hasPage = false;
        bool isDone = false;
        client.list("p/", "", [&hasPage, &isDone](const auto &result) {
            hasPage = std::holds_alternative<platform::ItemPage>(result);
            isDone = true;
        });
        while (!isDone && context.run_one_for(std::chrono::seconds(3)) > 0) {
        }
        CHECK(isDone);
        client.close();
        return hasPage;
    };
    const std::string page = R"({"items":[],"has_more":false,"at":7})";
    CHECK(list(withLength(page), AnswerEnding::KeepOpen));
    CHECK(list(withLength(page), AnswerEnding::Close));
    CHECK(list(withoutLength(page), AnswerEnding::Close));
    CHECK_FALSE(list(withoutLength(page), AnswerEnding::Reset));
    CHECK_FALSE(list(withoutLength(page.substr(0, 20)), AnswerEnding::Close));
    CHECK_FALSE(list(withoutLength(""), AnswerEnding::Close));
    CHECK_FALSE(list(withLength(page).substr(0, 60), AnswerEnding::Close));
    CHECK_FALSE(list(plainHead, AnswerEnding::Close));
}

// Guards against a status outside 100 to 599 that is passed on as an answer, or that is taken for an interim one and waited behind.
TEST(OwnAnswerEnds, anAnswerWithAStatusThatIsNoneIsUnknown)
{
    for (const std::string status : {"000", "099", "600", "999"}) {
        const auto with = [&status](std::string bytes) {
            return bytes.replace(bytes.find("200"), 3, status);
        };
        const auto begin = std::chrono::steady_clock::now();
        CHECK(isUnknown<runner::ToolUpstream>(with(withLength(toolAnswer)), AnswerEnding::KeepOpen));
        CHECK(isUnknown<runner::EngineUpstream>(with(withLength(engineAnswer)), AnswerEnding::KeepOpen));
        CHECK(isUnknown<runner::ToolUpstream>(with(withLength("")), AnswerEnding::KeepOpen));
        CHECK(std::chrono::steady_clock::now() - begin < std::chrono::milliseconds(900));
    }
}

// Guards against a body without end that fills the memory of the process which reads it.
TEST(OwnAnswerEnds, aBodyWithoutEndIsUnknownAndItsReaderStops)
{
    constexpr std::size_t maxSentBytes = std::size_t{100} * 1024 * 1024;
    const std::string letters(std::size_t{64} * 1024, 'a');
    const auto check = [&letters](const std::string &begin, const auto &isRefused) {
        const AnswerThread server(ScriptedAnswer{{plainHead + "\r\n" + begin, letters}, AnswerEnding::NeverEnd});
        CHECK(isRefused(server));
        CHECK(server.sentBytes() < maxSentBytes);
    };
    check("", [](const AnswerThread &server) {
        return std::holds_alternative<core::Unknown>(execute<runner::ToolUpstream>(server));
    });
    check("data: ", [](const AnswerThread &server) {
        return std::holds_alternative<core::Unknown>(execute<runner::EngineUpstream>(server));
    });
    check("", [](const AnswerThread &server) {
        keyvalue::HttpKeyValue service(server.url(), base::Milliseconds(5000));
        return std::holds_alternative<keyvalue::PlatformUnavailable>(service.read("k"));
    });
    check("", [](const AnswerThread &server) {
        membership::VmListClient list(server.url(), base::Milliseconds(5000));
        return std::holds_alternative<keyvalue::PlatformUnavailable>(list.read());
    });
}

// Guards against a head without end that fills the memory of the process which reads it.
TEST(OwnAnswerEnds, aHeadWithoutEndIsUnknownAndItsReaderStops)
{
    constexpr std::size_t maxSentBytes = std::size_t{100} * 1024 * 1024;
    const AnswerThread server(
        ScriptedAnswer{{"HTTP/1.1 200 OK\r\nX-A: ", std::string(std::size_t{64} * 1024, 'a')}, AnswerEnding::NeverEnd});
    CHECK(std::holds_alternative<core::Unknown>(execute<runner::ToolUpstream>(server)));
    CHECK(server.sentBytes() < maxSentBytes);
}

// Guards against an engine that stalled and sends a byte now and then, whose stream never ended.
TEST(OwnAnswerEnds, anEngineThatSendsSingleBytesWithoutEventsIsUnknownAfterTheTimeout)
{
    const AnswerThread server(
        ScriptedAnswer{{plainHead + "\r\n", std::string("x")}, AnswerEnding::NeverEnd, std::chrono::milliseconds(50)});
    const auto begin = std::chrono::steady_clock::now();
    CHECK(std::holds_alternative<core::Unknown>(execute<runner::EngineUpstream>(server, base::Milliseconds(500))));
    CHECK(std::chrono::steady_clock::now() - begin < std::chrono::milliseconds(2000));
}

// Guards against a slow engine whose stream is cut while its events still come.
TEST(OwnAnswerEnds, aSlowStreamGoesOnWhileItsEventsCome)
{
    std::vector<std::string> pieces{plainHead + "\r\n"};
    const std::string event = "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n";
    pieces.insert(pieces.end(), 8, event);
    pieces.push_back("data: [DONE]\n\n");
    const AnswerThread server(ScriptedAnswer{pieces, AnswerEnding::Close, std::chrono::milliseconds(150)});
    CHECK(std::holds_alternative<core::Completed>(execute<runner::EngineUpstream>(server, base::Milliseconds(500))));
}

// Guards against a limit on calls that an upstream of our own interface names and nobody reads.
TEST(OwnAnswerEnds, theLimitThatAnUpstreamNamesIsRead)
{
    const std::string fields = "HTTP/1.1 200 OK\r\nCall-Rate-Limit: 2.5\r\nContent-Length: ";
    const auto statedBy = [](auto &upstream) {
        std::promise<std::optional<requests::RequestRate>> limit;
        runner::UpstreamObserver observer;
        std::optional<requests::RequestRate> stated;
        observer.chunk = [](std::uint64_t, const std::string &) {};
        observer.rateStated = [&stated](const requests::StatedRate &rate) {
            stated = rate.limit;
        };
        observer.ended = [&](const core::Outcome &) {
            limit.set_value(stated);
        };
        const auto cancellation = upstream.execute({}, observer);
        return limit.get_future().get();
    };
    const AnswerThread tool({{fields + std::to_string(toolAnswer.size()) + "\r\n\r\n" + toolAnswer}});
    runner::ToolUpstream toolUpstream(tool.url(), base::Milliseconds(5000));
    CHECK(statedBy(toolUpstream) == requests::RequestRate(2.5));
    const AnswerThread engine({{fields + std::to_string(engineAnswer.size()) + "\r\n\r\n" + engineAnswer}});
    runner::EngineUpstream engineUpstream(engine.url(), base::Milliseconds(5000));
    CHECK(statedBy(engineUpstream) == requests::RequestRate(2.5));
}
