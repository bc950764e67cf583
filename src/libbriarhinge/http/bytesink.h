#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <cpprest/streams.h>

namespace briarhinge::http
{

/**
 * Write-only stream buffer that passes bytes to a callback, up to a limit. More bytes end the request with an error.
 *
 * cpprest writes a response body into it on the thread that received the data. Reading the body through cpprest's own
 * buffer would start a task for each byte that is waited for.
 */
class ByteSink : public concurrency::streams::details::streambuf_state_manager<std::uint8_t>
{
public:
    /**
     * @param maxBytes maximum number of bytes
     * @param onBytes called with the bytes as they are received
     */
    ByteSink(std::size_t maxBytes, std::function<void(std::string_view)> onBytes);

    bool can_seek() const override;
    bool has_size() const override;
    std::size_t buffer_size(std::ios_base::openmode direction) const override;
    void set_buffer_size(std::size_t size, std::ios_base::openmode direction) override;
    std::size_t in_avail() const override;
    pos_type getpos(std::ios_base::openmode direction) const override;
    pos_type seekpos(pos_type position, std::ios_base::openmode direction) override;
    pos_type seekoff(off_type offset, std::ios_base::seekdir way, std::ios_base::openmode direction) override;
    bool acquire(std::uint8_t *&pointer, std::size_t &count) override;
    void release(std::uint8_t *pointer, std::size_t count) override;

private:
    pplx::task<int_type> _putc(std::uint8_t byte) override;
    pplx::task<std::size_t> _putn(const std::uint8_t *bytes, std::size_t count) override;
    pplx::task<int_type> _bumpc() override;
    int_type _sbumpc() override;
    pplx::task<int_type> _getc() override;
    int_type _sgetc() override;
    pplx::task<int_type> _nextc() override;
    pplx::task<int_type> _ungetc() override;
    pplx::task<std::size_t> _getn(std::uint8_t *bytes, std::size_t count) override;
    std::size_t _scopy(std::uint8_t *bytes, std::size_t count) override;
    pplx::task<bool> _sync() override;
    std::uint8_t *_alloc(std::size_t count) override;
    void _commit(std::size_t count) override;

    bool consume(std::string_view bytes);

    std::size_t m_bytesLeft;
    std::function<void(std::string_view)> m_onBytes;
};

/**
 * @param body receives the body
 * @param maxBytes maximum size of the body
 * @return a stream for the body of a response
 */
concurrency::streams::ostream boundedBody(const std::shared_ptr<std::string> &body, std::size_t maxBytes);

}
