#include "wire/framesession.h"

#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

namespace briarhinge::wire
{

namespace asio = boost::asio;
using boost::system::error_code;

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
        self->readLength();
    });
}

void FrameSession::send(const FrameT &frame)
{
    ++m_unsent;
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

std::size_t FrameSession::unsent() const
{
    return m_unsent;
}

void FrameSession::readLength()
{
    asio::async_read(m_socket, asio::buffer(m_length), [self = shared_from_this()](error_code error, std::size_t) {
        if (error) {
            self->closeNow(error.message());
            return;
        }
        const auto length = decodeLength(self->m_length);
        if (const auto *bad = std::get_if<BadFrame>(&length)) {
            self->closeNow("bad frame: " + bad->reason);
            return;
        }
        self->readBody(std::get<std::size_t>(length));
    });
}

void FrameSession::readBody(std::size_t length)
{
    m_body.resize(length);
    asio::async_read(m_socket, asio::buffer(m_body), [self = shared_from_this()](error_code error, std::size_t) {
        if (error) {
            self->closeNow(error.message());
            return;
        }
        self->received();
    });
}

void FrameSession::received()
{
    auto decoded = decodeFrame(m_body);
    if (const auto *bad = std::get_if<BadFrame>(&decoded)) {
        closeNow("bad frame: " + bad->reason);
        return;
    }
    m_onFrame(shared_from_this(), std::move(std::get<FrameT>(decoded)));
    if (!m_closed) {
        readLength();
    }
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
                          --self->m_unsent;
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
