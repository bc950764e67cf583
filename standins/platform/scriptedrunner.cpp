#include "platform/scriptedrunner.h"

#include "platform/registration.h"

#include <charconv>
#include <utility>

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

namespace standins::platform
{

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace
{

/** Lets each piece arrive by itself. */
constexpr std::chrono::milliseconds pieceInterval{3};
constexpr std::uint64_t firstStartTime = 1'785'000'000'000;
constexpr std::uint64_t restartTime = 1000;

std::string fieldValue(const std::string &head, const std::string &name)
{
    const std::size_t at = head.find("\r\n" + name + ":");
    if (at == std::string::npos) {
        return {};
    }
    const std::size_t begin = head.find_first_not_of(' ', at + name.size() + 3);
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

std::string withId(std::string text, const std::string &id)
{
    constexpr std::string_view placeholder = "{id}";
    for (std::size_t at = text.find(placeholder); at != std::string::npos; at = text.find(placeholder, at)) {
        text.replace(at, placeholder.size(), id);
        at += id.size();
    }
    return text;
}

}

class ScriptedRunner::Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(ScriptedRunner &runner, tcp::socket connected)
        : m_runner(runner)
        , m_socket(std::move(connected))
        , m_timer(m_socket.get_executor())
    {
        // A reset discards what was not sent yet.
        m_socket.set_option(tcp::no_delay(true));
    }

    void readRequest()
    {
        asio::async_read_until(m_socket, m_input, "\r\n\r\n",
                               [self = shared_from_this()](error_code error, std::size_t size) {
                                   if (error) {
                                       self->close();
                                       return;
                                   }
                                   const auto *bytes = static_cast<const char *>(self->m_input.data().data());
                                   self->m_head.assign(bytes, size);
                                   self->m_input.consume(size);
                                   const std::string length = fieldValue(self->m_head, "Content-Length");
                                   std::size_t bodyBytes = 0;
                                   std::from_chars(length.data(), length.data() + length.size(), bodyBytes);
                                   self->readBody(bodyBytes);
                               });
    }

    void close()
    {
        error_code ignored;
        m_timer.cancel();
        m_socket.close(ignored);
        m_runner.m_connections.erase(shared_from_this());
    }

private:
    void readBody(std::size_t bytes)
    {
        if (m_input.size() >= bytes) {
            m_input.consume(bytes);
            ++m_runner.m_receivedRequests;
            m_answer = m_runner.m_script(m_head);
            m_next = 0;
            sendNext();
            return;
        }
        asio::async_read(m_socket, m_input, asio::transfer_at_least(bytes - m_input.size()),
                         [self = shared_from_this(), bytes](error_code error, std::size_t) {
                             if (error) {
                                 self->close();
                                 return;
                             }
                             self->readBody(bytes);
                         });
    }

    void sendNext()
    {
        if (m_next == m_answer.pieces.size()) {
            end();
            return;
        }
        m_outgoing = withId(m_answer.pieces[m_next++], fieldValue(m_head, "X-Request-Id"));
        asio::async_write(m_socket, asio::buffer(m_outgoing),
                          [self = shared_from_this()](error_code error, std::size_t size) {
                              self->m_runner.m_sentBytes += size;
                              if (error) {
                                  self->close();
                                  return;
                              }
                              self->pause();
                          });
    }

    void pause()
    {
        if (m_answer.ending == AnswerEnding::NeverEnd && m_next == m_answer.pieces.size()) {
            --m_next;
            if (!m_answer.interval) {
                sendNext();
                return;
            }
        }
        m_timer.expires_after(m_answer.interval.value_or(pieceInterval));
        m_timer.async_wait([self = shared_from_this()](error_code error) {
            if (!error) {
                self->sendNext();
            }
        });
    }

    void end()
    {
        switch (m_answer.ending) {
        case AnswerEnding::Reset:
            // Discards what was not sent and resets the connection.
            m_socket.set_option(asio::socket_base::linger(true, 0));
            close();
            return;
        case AnswerEnding::Close:
            close();
            return;
        case AnswerEnding::EndProcess:
            m_runner.endProcess();
            return;
        default:
            readRequest();
        }
    }

    ScriptedRunner &m_runner;
    tcp::socket m_socket;
    asio::steady_timer m_timer;
    asio::streambuf m_input;
    std::string m_head;
    std::string m_outgoing;
    ScriptedAnswer m_answer;
    std::size_t m_next = 0;
};

ScriptedRunner::ScriptedRunner(asio::io_context &context, Script script)
    : m_context(context)
    , m_script(std::move(script))
    , m_address{"127.0.0.1", 0}
    , m_startTime(firstStartTime)
{
    restart();
}

ScriptedRunner::~ScriptedRunner()
{
    endProcess();
    // Handlers that are already queued still refer to this object.
    m_context.poll();
}

void ScriptedRunner::restart()
{
    const tcp::endpoint endpoint(asio::ip::make_address(m_address.host), m_address.port);
    m_acceptor = std::make_unique<tcp::acceptor>(m_context, endpoint);
    m_address.port = m_acceptor->local_endpoint().port();
    m_startTime += restartTime;
    accept();
}

void ScriptedRunner::accept()
{
    m_acceptor->async_accept([this](error_code error, tcp::socket socket) {
        if (error) {
            return;
        }
        ++m_acceptedConnections;
        const auto connection = std::make_shared<Connection>(*this, std::move(socket));
        m_connections.insert(connection);
        connection->readRequest();
        accept();
    });
}

void ScriptedRunner::endProcess()
{
    error_code ignored;
    m_acceptor->close(ignored);
    const auto connections = m_connections;
    for (const auto &connection : connections) {
        connection->close();
    }
}

void ScriptedRunner::setScript(Script script)
{
    m_script = std::move(script);
}

const briarhinge::wire::Address &ScriptedRunner::address() const
{
    return m_address;
}

int ScriptedRunner::receivedRequests() const
{
    return m_receivedRequests;
}

int ScriptedRunner::acceptedConnections() const
{
    return m_acceptedConnections;
}

std::size_t ScriptedRunner::sentBytes() const
{
    return m_sentBytes;
}

std::string ScriptedRunner::registration(const std::string &service) const
{
    return runnerRegistration(service, m_address, m_startTime);
}

}
