#include "wire/framesession.h"

#include <algorithm>
#include <span>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

namespace briarhinge::wire
{

namespace asio = boost::asio;
using boost::system::error_code;

namespace
{

/** Initial size of the input buffer; most frames are smaller. */
constexpr std::size_t initialInputBytes = std::size_t{8} * 1024;
/** Minimum free space for a read; reading less is not worth the system call. */
constexpr std::size_t minReadBytes = std::size_t{2} * 1024;
/** Size from which a buffer is given back once its frame has been processed. */
constexpr std::size_t largeBufferBytes = std::size_t{64} * 1024;

}

FrameSession::FrameSession(Socket socket, FrameHandler onFrame, CloseHandler onClose)
    : m_socket(std::move(socket))
    , m_onFrame(std::move(onFrame))
    , m_onClose(std::move(onClose))
{
    error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
}

void FrameSession::start()
{
    asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        self->readMore();
    });
}

void FrameSession::send(const FrameT &frame)
{
    ++m_unsentFrames;
    asio::post(m_socket.get_executor(), [self = shared_from_this(), bytes = encodeFrame(frame)]() mutable {
        if (self->m_closed) {
            return;
        }
        self->m_outgoing.push_back(std::move(bytes));
        if (self->m_outgoing.size() == 1) {
            self->writeNext();
        }
    });
}

void FrameSession::close(std::string reason)
{
    asio::post(m_socket.get_executor(), [self = shared_from_this(), reason = std::move(reason)] {
        self->closeNow(reason);
    });
}

std::size_t FrameSession::unsentFrames() const
{
    return m_unsentFrames;
}

void FrameSession::readMore()
{
    // Unprocessed input moves to the start of the buffer, which grows if a frame does not fit.
    std::copy(m_input.begin() + static_cast<std::ptrdiff_t>(m_consumed),
              m_input.begin() + static_cast<std::ptrdiff_t>(m_filled), m_input.begin());
    m_filled -= m_consumed;
    m_consumed = 0;
    if (m_filled == 0 && m_input.size() > largeBufferBytes) {
        m_input = {};
        m_frameBytes = {};
    }
    if (m_input.size() - m_filled < minReadBytes) {
        m_input.resize(std::max(initialInputBytes, m_input.size() * 2));
    }
    m_socket.async_read_some(asio::buffer(m_input.data() + m_filled, m_input.size() - m_filled),
                             [self = shared_from_this()](error_code error, std::size_t size) {
                                 if (error) {
                                     self->closeNow(error.message());
                                     return;
                                 }
                                 self->m_filled += size;
                                 self->processFrames();
                             });
}

void FrameSession::processFrames()
{
    while (!m_closed && processFrame()) {
    }
    if (!m_closed) {
        readMore();
    }
}

bool FrameSession::processFrame()
{
    const auto received = std::span<const std::uint8_t>(m_input).first(m_filled).subspan(m_consumed);
    if (received.size() < lengthPrefixBytes) {
        return false;
    }
    const auto length = decodeLength(received.first<lengthPrefixBytes>());
    if (const auto *bad = std::get_if<BadFrame>(&length)) {
        closeNow("bad frame: " + bad->reason);
        return false;
    }
    const std::size_t bodyBytes = std::get<std::size_t>(length);
    if (received.size() - lengthPrefixBytes < bodyBytes) {
        return false;
    }
    // A frame is decoded in place, which requires the alignment of an allocation.
    const auto body = received.subspan(lengthPrefixBytes, bodyBytes);
    m_frameBytes.assign(body.begin(), body.end());
    auto decoded = decodeFrame(m_frameBytes);
    m_consumed += lengthPrefixBytes + bodyBytes;
    if (const auto *bad = std::get_if<BadFrame>(&decoded)) {
        closeNow("bad frame: " + bad->reason);
        return false;
    }
    m_onFrame(shared_from_this(), std::move(std::get<FrameT>(decoded)));
    return true;
}

void FrameSession::writeNext()
{
    asio::async_write(m_socket, asio::buffer(m_outgoing.front()),
                      [self = shared_from_this()](error_code error, std::size_t) {
                          if (error) {
                              self->closeNow(error.message());
                              return;
                          }
                          self->m_outgoing.pop_front();
                          --self->m_unsentFrames;
                          if (!self->m_outgoing.empty()) {
                              self->writeNext();
                          }
                      });
}

void FrameSession::closeNow(const std::string &reason)
{
    if (m_closed) {
        return;
    }
    m_closed = true;
    error_code ignored;
    m_socket.close(ignored);
    m_onClose(shared_from_this(), reason);
}

}
