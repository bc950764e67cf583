#include "http/listener.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <fcntl.h>
#include <sys/resource.h>

#include <CppUTest/TestHarness.h>

using namespace briarhinge;

namespace
{

using boost::asio::ip::tcp;

constexpr std::uint16_t port = 18'473;
constexpr std::size_t memoryBytes = std::size_t{512} * 1024;
constexpr std::size_t maxConnections = 4;
/** Less than an ordinary request takes. */
constexpr std::size_t requestBytes = 4096;
/** A share that is small enough for all of the memory. */
constexpr std::size_t otherBytes = std::size_t{60} * 1024;
constexpr std::chrono::milliseconds bodyTimeout{100};
constexpr std::chrono::milliseconds shortTime{20};
const std::string chunkedHead = "POST /charge HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";

http::ServerLimits limits()
{
    http::ServerLimits limits;
    limits.bodyTimeout = bodyTimeout;
    return limits;
}

/** @return a chunk of 64 KB */
std::string largeChunk()
{
    return "10000\r\n" + std::string(std::size_t{64} * 1024, 'x') + "\r\n";
}

}

TEST_GROUP(CrowdedListener)
{
    using Caller = std::unique_ptr<tcp::socket>;

    void setup() override
    {
        STRCMP_EQUAL("", listener.listen({"127.0.0.1", port}).c_str());
    }

    void teardown() override
    {
        listener.close();
        context.restart();
        context.poll();
    }

    std::size_t runFor(std::chrono::milliseconds time)
    {
        context.restart();
        return context.run_for(time);
    }

    Caller connect()
    {
        auto caller = std::make_unique<tcp::socket>(callerContext);
        caller->connect({boost::asio::ip::make_address("127.0.0.1"), port});
        caller->non_blocking(true);
        runFor(shortTime);
        return caller;
    }

    /** Sends @p bytes while the listener reads. */
    void send(tcp::socket & caller, std::string_view bytes)
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
        while (!bytes.empty() && std::chrono::steady_clock::now() < end) {
            boost::system::error_code error;
            const std::size_t sent = caller.write_some(boost::asio::buffer(bytes), error);
            if (error && error != boost::asio::error::would_block) {
                return;
            }
            bytes.remove_prefix(sent);
            runFor(std::chrono::milliseconds(1));
        }
        runFor(shortTime);
    }

    /** @return what has come, followed by "(closed)" if the connection has ended */
    std::string receive(tcp::socket & caller)
    {
        std::string bytes;
        std::string piece(4096, '\0');
        boost::system::error_code error;
        while (!error) {
            bytes.append(piece, 0, caller.read_some(boost::asio::buffer(piece), error));
        }
        return bytes + (error == boost::asio::error::would_block ? "" : "(closed)");
    }

    bool isServed(tcp::socket & caller)
    {
        send(caller, "GET /ordinary HTTP/1.1\r\nHost: x\r\n\r\n");
        return receive(caller).starts_with("HTTP/1.1 200");
    }

    boost::asio::io_context context;
    base::MemoryBudget memory{memoryBytes};
    std::vector<std::string> paths;
    /** The connections of requests below /held/, which are not answered. */
    std::vector<std::shared_ptr<http::ServerConnection>> held;
    http::Listener listener{
        context, limits, {memory, maxConnections}, [this](const auto &connection, const auto &request) {
            paths.push_back(request.target);
            if (request.target.starts_with("/held/")) {
                held.push_back(connection);
            } else {
                connection->respond({200, {}}, {});
            }
        }};
    boost::asio::io_context callerContext;
};

TEST(CrowdedListener, aNewConnectionTakesThePlaceOfTheOneThatHasBeenUnusedLongest)
{
    std::vector<Caller> callers;
    for (std::size_t i = 0; i < maxConnections + 1; ++i) {
        callers.push_back(connect());
    }
    LONGS_EQUAL(maxConnections, listener.connectionCount());
    STRCMP_EQUAL("(closed)", receive(*callers[0]).c_str());
    STRCMP_EQUAL("", receive(*callers[1]).c_str());
    CHECK(isServed(*callers.back()));
    LONGS_EQUAL(1, listener.counts().givenWay);
}

TEST(CrowdedListener, anUnusedConnectionGivesWayBeforeOneThatWasServed)
{
    const Caller served = connect();
    CHECK(isServed(*served));
    std::vector<Caller> callers;
    for (std::size_t i = 0; i < maxConnections; ++i) {
        callers.push_back(connect());
    }
    STRCMP_EQUAL("(closed)", receive(*callers[0]).c_str());
    CHECK(isServed(*served));
}

TEST(CrowdedListener, anUnfinishedRequestGivesWayWithThePromiseThatItDoesNotRun)
{
    std::vector<Caller> callers;
    for (std::size_t i = 0; i < maxConnections; ++i) {
        callers.push_back(connect());
        send(*callers.back(), "POST /charge HTTP/1.1\r\nHost: x\r\n");
    }
    const Caller ordinary = connect();
    CHECK(isServed(*ordinary));
    const std::string answer = receive(*callers[0]);
    STRNCMP_EQUAL("HTTP/1.1 503", answer.c_str(), 12);
    STRCMP_CONTAINS("Retry-After: ", answer.c_str());
    send(*callers[0], "Content-Length: 0\r\n\r\n");
    LONGS_EQUAL(1, paths.size());
}

TEST(CrowdedListener, requestsInProgressDoNotGiveWay)
{
    std::vector<Caller> callers;
    for (std::size_t i = 0; i < maxConnections; ++i) {
        callers.push_back(connect());
        send(*callers.back(), "GET /held/ HTTP/1.1\r\nHost: x\r\n\r\n");
    }
    const Caller late = connect();
    STRCMP_EQUAL("(closed)", receive(*late).c_str());
    LONGS_EQUAL(1, listener.counts().turnedAway);
    for (const auto &connection : held) {
        connection->respond({200, {}}, {});
    }
    runFor(shortTime);
    for (const Caller &caller : callers) {
        STRNCMP_EQUAL("HTTP/1.1 200", receive(*caller).c_str(), 12);
    }
}

// Guards against a failed accept that is repeated at once, which uses a whole core.
TEST(CrowdedListener, waitsWithoutWorkWhileThereIsNoDescriptorAndAcceptsAfterwards)
{
    const Caller idle = connect();
    tcp::socket waiting(callerContext);
    waiting.open(tcp::v4());
    rlimit before{};
    getrlimit(RLIMIT_NOFILE, &before);
    const int next = dup(0);
    close(next);
    const rlimit none{static_cast<rlim_t>(next), before.rlim_max};
    setrlimit(RLIMIT_NOFILE, &none);
    waiting.connect({boost::asio::ip::make_address("127.0.0.1"), port});
    const std::size_t handlers = runFor(std::chrono::milliseconds(200));
    setrlimit(RLIMIT_NOFILE, &before);
    constexpr std::size_t fewHandlers = 30;
    CHECK(handlers < fewHandlers);
    CHECK(listener.counts().failedAccepts > 0);
    runFor(std::chrono::milliseconds(100));
    waiting.non_blocking(true);
    CHECK(isServed(waiting));
    CHECK(isServed(*idle));
}

// Guards against a body that never ends since each byte begins its time anew.
TEST(CrowdedListener, aBodyThatTricklesEndsWithItsTime)
{
    const Caller caller = connect();
    send(*caller, "POST /charge HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\n");
    std::string answer;
    for (int i = 0; i < 40 && answer.empty(); ++i) {
        send(*caller, "x");
        answer = receive(*caller);
    }
    STRNCMP_EQUAL("HTTP/1.1 408", answer.c_str(), 12);
    LONGS_EQUAL(0, paths.size());
}

TEST(CrowdedListener, aBodyWithoutMemoryIsRefusedAtOnceAndOrdinaryRequestsAreServed)
{
    const Caller large = connect();
    send(*large, "POST /held/ HTTP/1.1\r\nHost: x\r\nContent-Length: 300000\r\n\r\n" + std::string(300'000, 'x'));
    LONGS_EQUAL(1, held.size());
    const Caller second = connect();
    send(*second, chunkedHead + largeChunk() + largeChunk() + largeChunk());
    const std::string answer = receive(*second);
    STRNCMP_EQUAL("HTTP/1.1 503", answer.c_str(), 12);
    STRCMP_CONTAINS("Retry-After: ", answer.c_str());
    const Caller ordinary = connect();
    CHECK(isServed(*ordinary));
    CHECK(memory.usedBytes() <= memoryBytes);
    held.front()->respond({200, {}}, {});
    runFor(shortTime);
    STRNCMP_EQUAL("HTTP/1.1 200", receive(*large).c_str(), 12);
    LONGS_EQUAL(2, paths.size());
}

TEST(CrowdedListener, anUnfinishedBodyGivesWayToOrdinaryRequests)
{
    const Caller upload = connect();
    send(*upload, chunkedHead + largeChunk() + largeChunk() + largeChunk() + largeChunk());
    std::vector<std::unique_ptr<base::MemoryBudget::Share>> others;
    while (memory.usedBytes() + requestBytes < memoryBytes) {
        others.push_back(std::make_unique<base::MemoryBudget::Share>(memory));
        CHECK(others.back()->grow(std::min(otherBytes, memoryBytes - memory.usedBytes() - requestBytes + 1)));
    }
    const Caller ordinary = connect();
    CHECK(isServed(*ordinary));
    STRNCMP_EQUAL("HTTP/1.1 503", receive(*upload).c_str(), 12);
    LONGS_EQUAL(1, paths.size());
}

TEST(CrowdedListener, aResponseThatIsNotReadIsBrokenOffWhenItOutgrowsTheMemory)
{
    const Caller deaf = connect();
    send(*deaf, "GET /held/ HTTP/1.1\r\nHost: x\r\n\r\n");
    bool isDisconnected = false;
    held.front()->setDisconnectHandler([&] {
        isDisconnected = true;
    });
    held.front()->beginResponse({200, {}});
    const std::string piece(std::size_t{64} * 1024, 'x');
    for (int i = 0; i < 200 && !isDisconnected; ++i) {
        held.front()->sendChunk(piece);
        runFor(std::chrono::milliseconds(1));
        CHECK(memory.usedBytes() <= memoryBytes);
    }
    CHECK(isDisconnected);
    CHECK(receive(*deaf).ends_with("(closed)"));
    const Caller ordinary = connect();
    CHECK(isServed(*ordinary));
}

// Guards against many callers that each leave a part of a small answer unread.
TEST(CrowdedListener, anAnswerThatStaysUnreadGivesWayAndOneThatIsReadDoesNot)
{
    const Caller deaf = connect();
    const Caller reader = connect();
    for (const Caller *caller : {&deaf, &reader}) {
        send(**caller, "GET /held/ HTTP/1.1\r\nHost: x\r\n\r\n");
    }
    held[0]->beginResponse({200, {}});
    held[1]->beginResponse({200, {}});
    const std::string piece(std::size_t{16} * 1024, 'x');
    bool isDisconnected = false;
    held[0]->setDisconnectHandler([&] {
        isDisconnected = true;
    });
    // Fills what the kernel holds, and some of the memory.
    while (memory.usedBytes() < memoryBytes / 4) {
        held[0]->sendChunk(piece);
        runFor(std::chrono::milliseconds(1));
    }
    std::this_thread::sleep_for(base::MemoryBudget::stallTimeout);
    base::MemoryBudget::Share other(memory);
    CHECK(other.grow(memoryBytes - memoryBytes / 4));
    held[1]->sendChunk(piece);
    runFor(shortTime);
    CHECK(isDisconnected);
    CHECK(receive(*reader).find(piece) != std::string::npos);
}

TEST(CrowdedListener, aCallerThatAsksIsToldToSendItsBody)
{
    const Caller caller = connect();
    send(*caller, "POST /charge HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    STRCMP_EQUAL("HTTP/1.1 100 Continue\r\n\r\n", receive(*caller).c_str());
    send(*caller, "ab");
    STRNCMP_EQUAL("HTTP/1.1 200", receive(*caller).c_str(), 12);
}
