#include "http/client.h"
#include "http/clientconnection.h"

#include <chrono>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <CppUTest/TestHarness.h>

using namespace briarhinge;
using namespace briarhinge::http;
using boost::asio::ip::tcp;

namespace
{

/** More than the system's buffers of a connection hold, so that it is still being sent when the answer comes. */
constexpr std::size_t uploadBytes = std::size_t{16} * 1024 * 1024;
constexpr std::size_t maxAnswerBytes = 4096;
constexpr base::Milliseconds timeLimit{5000};
constexpr int repetitions = 5;

const std::string headWithoutLength = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n";
const std::string headWithLength = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 700\r\n\r\n";

enum class End {
    ResetAtOnce,
    ResetLater,
    HalfClose,
};

/** A server that answers each request before it reads the body, of which it reads nothing. */
class EarlyAnswerServer
{
public:
    EarlyAnswerServer(std::string answer, End end)
        : m_acceptor(m_context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
        , m_thread([this, answer = std::move(answer), end] {
            serve(answer, end);
        })
    {
    }

    ~EarlyAnswerServer()
    {
        m_isDone.set_value();
        boost::system::error_code ignored;
        ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
        m_thread.join();
        m_acceptor.close(ignored);
    }

    EarlyAnswerServer(const EarlyAnswerServer &) = delete;
    EarlyAnswerServer &operator=(const EarlyAnswerServer &) = delete;

    wire::Address address() const
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }

private:
    void serve(const std::string &answer, End end)
    {
        const auto isDone = m_isDone.get_future();
        boost::system::error_code error;
        tcp::socket socket(m_context);
        m_acceptor.accept(socket, error);
        if (error) {
            return;
        }
        boost::asio::streambuf head;
        boost::asio::read_until(socket, head, "\r\n\r\n", error);
        boost::asio::write(socket, boost::asio::buffer(answer), error);
        if (end == End::HalfClose) {
            socket.shutdown(tcp::socket::shutdown_send, error);
        } else {
            if (end == End::ResetLater) {
                std::this_thread::sleep_for(std::chrono::milliseconds(30));
            }
            socket.set_option(boost::asio::socket_base::linger(true, 0), error);
            socket.close(error);
        }
        isDone.wait();
    }

    boost::asio::io_context m_context;
    tcp::acceptor m_acceptor;
    std::promise<void> m_isDone;
    std::thread m_thread;
};

/** @return what the end of the answer proves to the connections that entries have to runners */
Completeness receivedByConnection(const std::string &answer, End end)
{
    const EarlyAnswerServer server(answer, end);
    boost::asio::io_context context;
    std::optional<ResponseEnd> received;
    ClientConnection::connect(context, server.address(), timeLimit, timeLimit, [&received](auto result) {
        const auto connection = std::get<std::shared_ptr<ClientConnection>>(result);
        ResponseHandlers handlers;
        handlers.onHead = [](const ResponseHead &) {
            return HeadAction::Accept;
        };
        handlers.onBody = [](std::string_view) {};
        handlers.onEnd = [&received](const ResponseEnd &responseEnd) {
            received = responseEnd;
        };
        connection->send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(uploadBytes) + "\r\n\r\n"
                             + std::string(uploadBytes, 'u'),
                         false, std::move(handlers));
    });
    const auto limit = std::chrono::steady_clock::now() + timeLimit;
    while (!received && std::chrono::steady_clock::now() < limit) {
        context.run_one_for(std::chrono::milliseconds(20));
    }
    CHECK(received.has_value());
    return completeness(received.value_or(ResponseEnd{}), ContentEnd::Unknown);
}

/** @return what the end of the answer proves to the clients of the own interface's upstreams and services */
Completeness receivedByClient(const std::string &answer, End end)
{
    const EarlyAnswerServer server(answer, end);
    Client client("http://" + wire::toString(server.address()), {timeLimit, maxAnswerBytes}, Client::Reuse::Never);
    const ClientResponse response = client.call({"POST", "/x", "text/plain", std::string(uploadBytes, 'u')});
    return completeness(response.end.response, ContentEnd::Unknown);
}

void checkBoth(const std::string &answer, End end, Completeness expected)
{
    for (int i = 0; i < repetitions; ++i) {
        CHECK_TEXT(receivedByConnection(answer, end) == expected, "ClientConnection");
        CHECK_TEXT(receivedByClient(answer, end) == expected, "Client");
    }
}

}

TEST_GROUP(ResetUploads){};

// Guards against a part of an answer being passed on as whole (MIXED): the server resets the connection while the request is still
// being sent, and the send is told of the reset, so that the receipt just sees the connection end.
TEST(ResetUploads, anAnswerWithoutLengthIsBrokenOffByAResetDuringTheUpload)
{
    checkBoth(headWithoutLength + std::string(700, 'a'), End::ResetAtOnce, Completeness::BrokenOff);
    checkBoth(headWithoutLength + std::string(700, 'a'), End::ResetLater, Completeness::BrokenOff);
    checkBoth(headWithoutLength, End::ResetAtOnce, Completeness::BrokenOff);
    checkBoth(headWithLength + std::string(699, 'a'), End::ResetAtOnce, Completeness::BrokenOff);
}

// A server may answer before it has read the request; an answer that ends in order counts.
TEST(ResetUploads, anAnswerThatEndsInOrderDuringTheUploadCounts)
{
    checkBoth(headWithoutLength + std::string(700, 'a'), End::HalfClose, Completeness::CompleteIfServerLives);
    checkBoth(headWithLength + std::string(700, 'a'), End::ResetLater, Completeness::Complete);
}
