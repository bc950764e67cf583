#include "wire/frameserver.h"

#include "logging/eventlog.h"

namespace briarhinge::wire
{

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace
{

/** Time after a failed accept until the next one; a descriptor is free once some connection has ended. */
constexpr std::chrono::milliseconds acceptRetryDelay{50};

}

FrameServer::FrameServer(asio::io_context &context, logging::EventLog &log, FrameSession::FrameHandler onFrame,
                         FrameSession::CloseHandler onClose)
    : m_context(context)
    , m_log(log)
    , m_onFrame(std::move(onFrame))
    , m_onClose(std::move(onClose))
    , m_acceptor(context)
    , m_acceptTimer(context)
{
}

FrameServer::~FrameServer()
{
    stop();
}

std::variant<std::uint16_t, ListenError> FrameServer::listen(const Address &address)
{
    error_code error;
    const tcp::endpoint endpoint(asio::ip::make_address(address.host, error), address.port);
    if (error) {
        return ListenError{"\"" + address.host + "\" is not an IP address"};
    }
    m_acceptor.open(endpoint.protocol(), error);
    m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    m_acceptor.bind(endpoint, error);
    if (!error) {
        m_acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return ListenError{"can't listen at " + toString(address) + ": " + error.message()};
    }
    accept();
    return m_acceptor.local_endpoint().port();
}

std::size_t FrameServer::unsentFrames() const
{
    const std::lock_guard lock(m_mutex);
    std::size_t frames = 0;
    for (const auto &session : m_sessions) {
        frames += session->unsentFrames();
    }
    return frames;
}

void FrameServer::stop()
{
    error_code ignored;
    m_acceptor.close(ignored);
    m_acceptTimer.cancel();
    std::set<std::shared_ptr<FrameSession>> sessions;
    {
        const std::lock_guard lock(m_mutex);
        sessions.swap(m_sessions);
    }
    for (const auto &session : sessions) {
        session->close("server stopped");
    }
}

void FrameServer::accept()
{
    m_acceptor.async_accept(asio::make_strand(m_context), [this](error_code error, tcp::socket socket) {
        if (error == asio::error::operation_aborted) {
            return;
        }
        if (error && error != asio::error::connection_aborted) {
            // Without a free descriptor each further attempt fails at once.
            m_acceptTimer.expires_after(acceptRetryDelay);
            m_acceptTimer.async_wait([this](error_code cancelled) {
                if (!cancelled) {
                    accept();
                }
            });
            return;
        }
        if (!error) {
            auto session = std::make_shared<FrameSession>(std::move(socket), m_onFrame,
                                                          [this](const auto &ended, const std::string &reason) {
                                                              handleSessionClosed(ended, reason);
                                                          });
            const std::lock_guard lock(m_mutex);
            m_sessions.insert(session);
            session->start();
        }
        accept();
    });
}

void FrameServer::handleSessionClosed(const std::shared_ptr<FrameSession> &session, const std::string &reason)
{
    {
        const std::lock_guard lock(m_mutex);
        m_sessions.erase(session);
    }
    if (reason.starts_with("bad frame")) {
        m_log.write(logging::events::badFrame, {{"reason", reason}});
    }
    m_onClose(session, reason);
}

}
