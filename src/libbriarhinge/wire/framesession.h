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

/** TCP connection that carries frames in both directions. */
class FrameSession : public std::enable_shared_from_this<FrameSession>
{
public:
    using Socket = boost::asio::ip::tcp::socket;
    using FrameHandler = std::function<void(const std::shared_ptr<FrameSession> &, FrameT)>;
    using CloseHandler = std::function<void(const std::shared_ptr<FrameSession> &, const std::string &reason)>;

    /**
     * @param socket a connected socket
     * @param onFrame called for each received frame, never concurrently
     * @param onClose called once when the connection is closed
     */
    FrameSession(Socket socket, FrameHandler onFrame, CloseHandler onClose);

    /** Starts reading frames. */
    void start();

    /** Queues a frame for sending. @param frame the frame */
    void send(const FrameT &frame);

    /** Closes the connection. @param reason passed to the close handler */
    void close(std::string reason);

    /** @return number of frames that are queued and not written yet */
    std::size_t unsentFrames() const;

private:
    void readMore();
    void processFrames();
    /** @return whether the input held a complete, valid frame, which was passed to the handler */
    bool processFrame();
    void writeNext();
    void closeNow(const std::string &reason);

    Socket m_socket;
    FrameHandler m_onFrame;
    CloseHandler m_onClose;
    /** Input buffer; bytes before m_consumed are processed, bytes from m_filled on are unused. */
    std::vector<std::uint8_t> m_input;
    std::size_t m_consumed = 0;
    std::size_t m_filled = 0;
    /** Copy of the frame that is being decoded. */
    std::vector<std::uint8_t> m_frameBytes;
    std::deque<std::vector<std::uint8_t>> m_outgoing;
    bool m_closed = false;
    std::atomic<std::size_t> m_unsentFrames{0};
};

}
