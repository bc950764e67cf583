#include "http/bytesink.h"

#include <stdexcept>
#include <utility>

namespace briarhinge::http
{

namespace
{

constexpr const char *tooLarge = "the answer is too large";

}

ByteSink::ByteSink(std::size_t maxBytes, std::function<void(std::string_view)> onBytes)
    : streambuf_state_manager(std::ios_base::out)
    , m_bytesLeft(maxBytes)
    , m_onBytes(std::move(onBytes))
{
}

bool ByteSink::can_seek() const
{
    return false;
}

bool ByteSink::has_size() const
{
    return false;
}

std::size_t ByteSink::buffer_size(std::ios_base::openmode) const
{
    return 0;
}

void ByteSink::set_buffer_size(std::size_t, std::ios_base::openmode)
{
}

std::size_t ByteSink::in_avail() const
{
    return 0;
}

ByteSink::pos_type ByteSink::getpos(std::ios_base::openmode) const
{
    return traits::eof();
}

ByteSink::pos_type ByteSink::seekpos(pos_type, std::ios_base::openmode)
{
    return traits::eof();
}

ByteSink::pos_type ByteSink::seekoff(off_type, std::ios_base::seekdir, std::ios_base::openmode)
{
    return traits::eof();
}

bool ByteSink::acquire(std::uint8_t *&pointer, std::size_t &count)
{
    pointer = nullptr;
    count = 0;
    return false;
}

void ByteSink::release(std::uint8_t *, std::size_t)
{
}

pplx::task<ByteSink::int_type> ByteSink::_putc(std::uint8_t byte)
{
    const char character = static_cast<char>(byte);
    return consume({&character, 1}) ? pplx::task_from_result<int_type>(byte)
                                    : pplx::task_from_exception<int_type>(std::runtime_error(tooLarge));
}

pplx::task<std::size_t> ByteSink::_putn(const std::uint8_t *bytes, std::size_t count)
{
    return consume({reinterpret_cast<const char *>(bytes), count})
        ? pplx::task_from_result(count)
        : pplx::task_from_exception<std::size_t>(std::runtime_error(tooLarge));
}

pplx::task<ByteSink::int_type> ByteSink::_bumpc()
{
    return pplx::task_from_result<int_type>(traits::eof());
}

ByteSink::int_type ByteSink::_sbumpc()
{
    return traits::eof();
}

pplx::task<ByteSink::int_type> ByteSink::_getc()
{
    return pplx::task_from_result<int_type>(traits::eof());
}

ByteSink::int_type ByteSink::_sgetc()
{
    return traits::eof();
}

pplx::task<ByteSink::int_type> ByteSink::_nextc()
{
    return pplx::task_from_result<int_type>(traits::eof());
}

pplx::task<ByteSink::int_type> ByteSink::_ungetc()
{
    return pplx::task_from_result<int_type>(traits::eof());
}

pplx::task<std::size_t> ByteSink::_getn(std::uint8_t *, std::size_t)
{
    return pplx::task_from_result<std::size_t>(0);
}

std::size_t ByteSink::_scopy(std::uint8_t *, std::size_t)
{
    return 0;
}

pplx::task<bool> ByteSink::_sync()
{
    return pplx::task_from_result(true);
}

std::uint8_t *ByteSink::_alloc(std::size_t)
{
    return nullptr;
}

void ByteSink::_commit(std::size_t)
{
}

bool ByteSink::consume(std::string_view bytes)
{
    if (bytes.size() > m_bytesLeft) {
        return false;
    }
    m_bytesLeft -= bytes.size();
    m_onBytes(bytes);
    return true;
}

concurrency::streams::ostream boundedBody(const std::shared_ptr<std::string> &body, std::size_t maxBytes)
{
    const auto sink = std::make_shared<ByteSink>(maxBytes, [body](std::string_view bytes) {
        body->append(bytes);
    });
    return concurrency::streams::streambuf<std::uint8_t>(sink).create_ostream();
}

}
