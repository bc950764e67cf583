#pragma once

#include "wire/address.h"
#include "wire/framesession.h"

#include <cstdint>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <variant>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace briarhinge::logging
{
class EventLog;
}

namespace briarhinge::wire
{

/** Why a server could not listen. */
struct ListenError
{
    std::string reason;
};

/** Accepts connections from other processes of the system. */
class FrameServer
{
public:
    /**
     * @param context runs the connections
     * @param log gets the bad frames
     * @param onFrame called for each frame of each connection
     * @param onClose called when a connection is closed
     */
    FrameServer(boost::asio::io_context &context, logging::EventLog &log, FrameSession::FrameHandler onFrame,
                FrameSession::CloseHandler onClose);
    ~FrameServer();

    FrameServer(const FrameServer &) = delete;
    FrameServer &operator=(const FrameServer &) = delete;

    /** @param address where to listen; port 0 takes a free one @return the port, or why it can't be had */
    std::variant<std::uint16_t, ListenError> listen(const Address &address);

    /** @return frames that were given to open connections and have not left yet */
    std::size_t unsent() const;

    /** Stops accepting and closes every connection. */
    void stop();

private:
    void accept();
    void closed(const std::shared_ptr<FrameSession> &session, const std::string &reason);

    boost::asio::io_context &m_context;
    logging::EventLog &m_log;
    FrameSession::FrameHandler m_onFrame;
    FrameSession::CloseHandler m_onClose;
    boost::asio::ip::tcp::acceptor m_acceptor;
    mutable std::mutex m_mutex;
    std::set<std::shared_ptr<FrameSession>> m_sessions;
};

}
