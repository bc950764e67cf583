#pragma once

#include "wire/framecodec.h"

#include <atomic>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>

namespace briarhinge::wire
{

/** One TCP connection that carries frames both ways. */
class FrameSession : public std::enable_shared_from_this<FrameSession>
{
public:
    using Socket = boost::asio::ip::tcp::socket;
    using FrameHandler = std::function<void(const std::shared_ptr<FrameSession> &, FrameT)>;
    using CloseHandler = std::function<void(const std::shared_ptr<FrameSession> &, const std::string &reason)>;

    /**
     * @param socket a connected socket
     * @param onFrame called for each frame that arrives, one after another
     * @param onClose called once, when the connection is closed
     */
    FrameSession(Socket socket, FrameHandler onFrame, CloseHandler onClose);

    /** Starts reading. */
    void start();

    /** Sends a frame after those already given. @param frame the frame */
    void send(const FrameT &frame);

    /** Closes the connection. @param reason told to the close handler */
    void close(std::string reason);

    /** @return frames that were given to send and have not left yet */
    std::size_t unsent() const;

private:
    void readMore();
    void takeFrames();
    bool takeFrame();
    void writeNext();
    void closeNow(const std::string &reason);

    Socket m_socket;
    FrameHandler m_onFrame;
    CloseHandler m_onClose;
    /** Received bytes; those before m_taken are done with, those behind m_filled are free. */
    std::vector<std::uint8_t> m_input;
    std::size_t m_taken = 0;
    std::size_t m_filled = 0;
    /** The frame that is being read. */
    std::vector<std::uint8_t> m_body;
    std::deque<std::vector<std::uint8_t>> m_outgoing;
    bool m_closed = false;
    std::atomic<std::size_t> m_unsent{0};
};

}
