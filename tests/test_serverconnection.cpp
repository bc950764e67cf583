#include "http/listener.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace briarhinge;

namespace
{

using boost::asio::ip::tcp;

constexpr std::uint16_t port = 18'471;
constexpr std::chrono::milliseconds headTimeout{60};
constexpr std::chrono::milliseconds idleTimeout{200};
constexpr std::size_t memoryBytes = std::size_t{16} * 1024 * 1024;
constexpr std::size_t maxConnections = 100;
/** More than any buffer of a connection holds. */
constexpr std::size_t endlessBytes = std::size_t{500} * 1024;

http::ServerLimits shortLimits()
{
    http::ServerLimits limits;
    limits.headTimeout = headTimeout;
    limits.idleTimeout = idleTimeout;
    return limits;
}

}

TEST_GROUP(ServerConnection)
{
    void setup() override
    {
        STRCMP_EQUAL("", listener.listen({"127.0.0.1", port}).c_str());
        caller.connect({boost::asio::ip::make_address("127.0.0.1"), port});
        runFor(std::chrono::milliseconds(20));
    }

    void teardown() override
    {
        listener.close();
        context.poll();
    }

    void runFor(std::chrono::milliseconds time)
    {
        context.restart();
        context.run_for(time);
    }

    void send(const std::string &bytes)
    {
        boost::asio::write(caller, boost::asio::buffer(bytes));
    }

    /** Sends @p bytes to the server while it reads; stops when the server has ended the connection. */
    void sendInPieces(tcp::socket & socket, const std::string &bytes)
    {
        constexpr std::size_t pieceBytes = std::size_t{16} * 1024;
        for (std::size_t sent = 0; sent < bytes.size(); sent += pieceBytes) {
            boost::system::error_code error;
            boost::asio::write(socket, boost::asio::buffer(&bytes[sent], std::min(pieceBytes, bytes.size() - sent)),
                               error);
            if (error) {
                return;
            }
            runFor(std::chrono::milliseconds(1));
        }
    }

    std::string received()
    {
        std::string bytes(caller.available(), '\0');
        boost::asio::read(caller, boost::asio::buffer(bytes));
        return bytes;
    }

    /** Sends @p bytes on a connection of its own. @return what the server answers */
    std::string answerTo(const std::string &bytes)
    {
        tcp::socket other(callerContext);
        other.connect({boost::asio::ip::make_address("127.0.0.1"), port});
        boost::asio::write(other, boost::asio::buffer(bytes));
        runFor(std::chrono::milliseconds(5));
        std::string answer(other.available(), '\0');
        boost::asio::read(other, boost::asio::buffer(answer));
        return answer;
    }

    boost::asio::io_context context;
    std::vector<std::string> paths;
    http::Listener listener{context,
                            shortLimits,
                            {base::MemoryBudget(memoryBytes), maxConnections},
                            [this](const auto &connection, const auto &request) {
                                paths.push_back(request.target);
                                connection->respond({200, {}}, {});
                            }};
    boost::asio::io_context callerContext;
    tcp::socket caller{callerContext};
};

TEST(ServerConnection, aTimedOutRequestIsNotPassedOnWhenItsRestArrives)
{
    send("POST /charge HTTP/1.1\r\nHost: x\r\n");
    runFor(2 * headTimeout);
    STRNCMP_EQUAL("HTTP/1.1 408", received().c_str(), 12);
    send("Content-Length: 0\r\n\r\n");
    runFor(headTimeout);
    LONGS_EQUAL(0, paths.size());
}

TEST(ServerConnection, aCallerIsNotRefusedBecauseThisProcessWasStalled)
{
    send("POST /charge HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\n");
    // The idle timer expires in the same event loop iteration in which the head is read.
    std::this_thread::sleep_for(idleTimeout);
    runFor(std::chrono::milliseconds(20));
    send("x");
    runFor(std::chrono::milliseconds(20));
    STRNCMP_EQUAL("HTTP/1.1 200", received().c_str(), 12);
    LONGS_EQUAL(1, paths.size());
}

TEST(ServerConnection, aPipelinedRequestWaitsForTheResponseBeforeIt)
{
    send("GET /one HTTP/1.1\r\nHost: x\r\n\r\nGET /two HTTP/1.1\r\nHost: x\r\n\r\n");
    runFor(std::chrono::milliseconds(20));
    LONGS_EQUAL(2, paths.size());
    STRCMP_EQUAL("/two", paths.back().c_str());
}

namespace
{

/** A server that answers only when it is told to. */
class DeferringServer
{
public:
    explicit DeferringServer(boost::asio::io_context &context)
        : m_context(context)
        , m_listener(context, shortLimits, {base::MemoryBudget(memoryBytes), maxConnections},
                     [this](const auto &connection, const auto &request) {
                         texts.push_back(request.target + ' ' + request.body);
                         m_waiting = connection;
                     })
    {
        STRCMP_EQUAL("", m_listener.listen({"127.0.0.1", port + 1}).c_str());
    }

    ~DeferringServer()
    {
        m_listener.close();
        m_context.poll();
    }

    /** @return whether a request awaits its response */
    bool isWaiting() const
    {
        return m_waiting != nullptr;
    }

    /** Answers the request that was handled last. */
    void respond()
    {
        std::exchange(m_waiting, nullptr)->respond({200, {}}, texts.back());
    }

    /** Forgets the requests of earlier connections. */
    void clear()
    {
        texts.clear();
        m_waiting = nullptr;
    }

    /** Target and body of each request that was handled. */
    std::vector<std::string> texts;

private:
    boost::asio::io_context &m_context;
    std::shared_ptr<http::ServerConnection> m_waiting;
    http::Listener m_listener;
};

std::string post(const std::string &target, const std::string &body)
{
    return "POST " + target + " HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
        + body;
}

}

// Guards against a charge that runs twice, and whose answer the next one gets (TWICE, MIXED): its bytes were parsed while a read into
// the same buffer was pending, and were taken for what had been read.
TEST(ServerConnection, aRequestSentBeforeTheResponseIsHandledOnce)
{
    DeferringServer server(context);
    const std::string charge = post("/charge", "one charge of many");
    for (const std::size_t early : {charge.size(), charge.size() - 5, std::size_t{30}}) {
        server.clear();
        tcp::socket client{callerContext};
        client.connect({boost::asio::ip::make_address("127.0.0.1"), port + 1});
        const auto handle = [this, &server, &client](const std::string &bytes, std::size_t count) {
            boost::asio::write(client, boost::asio::buffer(bytes));
            runFor(std::chrono::milliseconds(10));
            LONGS_EQUAL(count, server.texts.size());
        };
        handle("GET /lookup HTTP/1.1\r\nHost: x\r\n\r\n" + charge.substr(0, early), 1);
        server.respond();
        handle(charge.substr(early), 2);
        STRCMP_EQUAL("/charge one charge of many", server.texts.back().c_str());
        server.respond();
        handle(post("/other", "another charge"), 3);
        STRCMP_EQUAL("/other another charge", server.texts.back().c_str());
        server.respond();
        runFor(std::chrono::milliseconds(10));
        LONGS_EQUAL(3, server.texts.size());
    }
}

// Guards against requests that are lost, run twice or get bytes of others, however they are cut into pieces and waited for.
TEST(ServerConnection, requestsAreHandledOnceInOrderHoweverTheyArrive)
{
    DeferringServer server(context);
    const bool holds = rc::check([&](const std::vector<std::uint8_t> &sizes) {
        server.clear();
        std::vector<std::string> expected;
        std::string bytes;
        for (const std::uint8_t size : sizes) {
            const std::string target = "/" + std::to_string(expected.size());
            const std::string body(std::size_t{size} * 16, static_cast<char>('a' + expected.size() % 26));
            expected.push_back(target);
            expected.back().append(1, ' ').append(body);
            bytes += post(target, body);
        }
        tcp::socket client{callerContext};
        client.connect({boost::asio::ip::make_address("127.0.0.1"), port + 1});
        std::size_t sent = 0;
        for (int turns = 0; server.texts.size() < expected.size() || server.isWaiting(); ++turns) {
            RC_ASSERT(turns < 1000);
            if (sent < bytes.size()) {
                const std::size_t piece = *rc::gen::inRange<std::size_t>(1, 3000);
                const std::size_t size = std::min(piece, bytes.size() - sent);
                boost::asio::write(client, boost::asio::buffer(&bytes[sent], size));
                sent += size;
            }
            context.restart();
            context.run_for(std::chrono::microseconds(200));
            if (server.isWaiting() && (sent == bytes.size() || *rc::gen::arbitrary<bool>())) {
                server.respond();
            }
            std::string answers(client.available(), '\0');
            boost::asio::read(client, boost::asio::buffer(answers));
        }
        RC_ASSERT(server.texts == expected);
        client.close();
        runFor(std::chrono::milliseconds(1));
    });
    CHECK(holds);
}

// Guards against a request whose unfinished part outgrows the input buffer and ends the process.
TEST(ServerConnection, aBodyWhoseFramingNeverEndsIsRefused)
{
    const std::string head = "POST /charge HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string letters(endlessBytes, 'a');
    const std::string digits(endlessBytes, '0');
    const std::vector<std::string> requests{head + "5;" + letters, head + "5;a=\"" + letters,
                                            head + digits,         head + "0\r\nX-A: " + letters,
                                            head + "0;" + letters, head + "5\r\nhello\r\n5;" + letters};
    for (const std::string &request : requests) {
        tcp::socket other(callerContext);
        other.connect({boost::asio::ip::make_address("127.0.0.1"), port});
        sendInPieces(other, request);
        runFor(std::chrono::milliseconds(20));
        std::string answer(other.available(), '\0');
        boost::asio::read(other, boost::asio::buffer(answer));
        STRNCMP_EQUAL("HTTP/1.1 413", answer.c_str(), 12);
    }
    LONGS_EQUAL(0, paths.size());
    caller = tcp::socket(callerContext);
    caller.connect({boost::asio::ip::make_address("127.0.0.1"), port});
    send("GET /after HTTP/1.1\r\nHost: x\r\n\r\n");
    runFor(std::chrono::milliseconds(20));
    STRNCMP_EQUAL("HTTP/1.1 200", received().c_str(), 12);
}

// Guards against a body that is handled as a request of its own: its end can't be told from the codings that its head names.
TEST(ServerConnection, aBodyInACodingThatIsNotUnderstoodIsNoRequest)
{
    const std::string body = "POST /hidden HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";
    const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n";
    const std::vector<std::pair<std::string, std::string>> heads{
        {"Transfer-Encoding: gzip\r\n", "400"},
        {"Transfer-Encoding: identity\r\n", "400"},
        {"Transfer-Encoding: chunked, gzip\r\n", "400"},
        {"Transfer-Encoding: chunked, identity\r\n", "400"},
        {"Transfer-Encoding: chunked, chunked\r\n", "400"},
        {"Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n", "400"},
        {"Transfer-Encoding: xchunked\r\n", "400"},
        {"Transfer-Encoding: \r\n", "400"},
        {"Transfer-Encoding: gzip\r\n" + length, "400"},
        {"Transfer-Encoding: chunked\r\n" + length, "400"},
        {length + "Transfer-Encoding: chunked\r\n", "400"},
        {"Transfer-Encoding: gzip, chunked\r\n", "501"},
        {"Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n", "501"},
        {"Content-Length: 0\r\n" + length, "400"},
        {"Content-Length: -1\r\n", "400"},
    };
    for (const std::string version : {"HTTP/1.1", "HTTP/1.0"}) {
        for (const auto &[fields, status] : heads) {
            const std::string chunk = "10\r\n0123456789abcdef\r\n0\r\n\r\n";
            for (const std::string &behind : {body, chunk + body}) {
                std::string head = "POST /charge ";
                head.append(version).append("\r\nHost: x\r\n").append(fields).append("\r\n");
                const std::string answer = answerTo(head + behind);
                CHECK_TRUE_TEXT(answer.starts_with("HTTP/1.1 " + status) || version == "HTTP/1.0", head.c_str());
                CHECK_TRUE_TEXT(answer.starts_with("HTTP/1.1 400") || version == "HTTP/1.1", head.c_str());
                CHECK_TRUE_TEXT(answer.find("Connection: close\r\n") != std::string::npos, head.c_str());
                CHECK_TRUE_TEXT(paths.empty(), head.c_str());
            }
        }
    }
}

TEST(ServerConnection, aBodyInChunksIsServedHoweverItsCodingIsWritten)
{
    for (const std::string coding : {"chunked", "Chunked", " CHUNKED ", ", chunked", "chunked ,"}) {
        const std::string answer = answerTo("POST /charge HTTP/1.1\r\nHost: x\r\nTransfer-Encoding:" + coding
                                            + "\r\n\r\n5\r\nhello\r\n0\r\n\r\n");
        CHECK_TRUE_TEXT(answer.starts_with("HTTP/1.1 200"), coding.c_str());
    }
}

TEST(ServerConnection, aBodyWithShortExtensionsAndTrailersIsServed)
{
    const std::string head = "POST /charge HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
    send(head + "5;a=b\r\nhello\r\n0\r\nX-A: b\r\n\r\n");
    runFor(std::chrono::milliseconds(20));
    STRNCMP_EQUAL("HTTP/1.1 200", received().c_str(), 12);
    LONGS_EQUAL(1, paths.size());
}

TEST(ServerConnection, aHeadWithoutEndIsRefused)
{
    sendInPieces(caller, "GET /" + std::string(endlessBytes, 'a'));
    runFor(std::chrono::milliseconds(20));
    STRNCMP_EQUAL("HTTP/1.1 431", received().c_str(), 12);
    LONGS_EQUAL(0, paths.size());
}
