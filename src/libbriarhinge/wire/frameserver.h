#pragma once

#include "wire/address.h"
#include "wire/framesession.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <variant>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace briarhinge::logging
{
class EventLog;
}

namespace briarhinge::wire
{

/** Error of a server that could not listen. */
struct ListenError
{
    std::string reason;
};

/** Accepts connections from other processes of the deployment. */
class FrameServer
{
public:
    /**
     * @param context context that runs the connections
     * @param log receives an event for each invalid frame
     * @param onFrame called for each frame of each connection
     * @param onClose called when a connection is closed
     */
    FrameServer(boost::asio::io_context &context, logging::EventLog &log, FrameSession::FrameHandler onFrame,
                FrameSession::CloseHandler onClose);
    ~FrameServer();

    FrameServer(const FrameServer &) = delete;
    FrameServer &operator=(const FrameServer &) = delete;

    /**
     * Starts accepting connections.
     *
     * @param address address to listen on; port 0 selects a free port
     * @return the port, or an error if the address can't be used
     */
    std::variant<std::uint16_t, ListenError> listen(const Address &address);

    /** @return number of frames that are queued on open connections */
    std::size_t unsentFrames() const;

    /** Stops accepting connections and closes all open ones. */
    void stop();

private:
    void accept();
    void handleSessionClosed(const std::shared_ptr<FrameSession> &session, const std::string &reason);

    boost::asio::io_context &m_context;
    logging::EventLog &m_log;
    FrameSession::FrameHandler m_onFrame;
    FrameSession::CloseHandler m_onClose;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_acceptTimer;
    mutable std::mutex m_mutex;
    std::set<std::shared_ptr<FrameSession>> m_sessions;
};

}
