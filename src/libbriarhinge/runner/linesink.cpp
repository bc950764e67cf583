#include "runner/linesink.h"

namespace briarhinge::runner
{

LineSink::LineSink(std::function<void(std::string_view)> onLine)
    : streambuf_state_manager(std::ios_base::out)
    , m_onLine(std::move(onLine))
{
}

bool LineSink::can_seek() const
{
    return false;
}

bool LineSink::has_size() const
{
    return false;
}

std::size_t LineSink::buffer_size(std::ios_base::openmode) const
{
    return 0;
}

void LineSink::set_buffer_size(std::size_t, std::ios_base::openmode)
{
}

std::size_t LineSink::in_avail() const
{
    return 0;
}

LineSink::pos_type LineSink::getpos(std::ios_base::openmode) const
{
    return traits::eof();
}

LineSink::pos_type LineSink::seekpos(pos_type, std::ios_base::openmode)
{
    return traits::eof();
}

LineSink::pos_type LineSink::seekoff(off_type, std::ios_base::seekdir, std::ios_base::openmode)
{
    return traits::eof();
}

bool LineSink::acquire(std::uint8_t *&pointer, std::size_t &count)
{
    pointer = nullptr;
    count = 0;
    return false;
}

void LineSink::release(std::uint8_t *, std::size_t)
{
}

pplx::task<LineSink::int_type> LineSink::_putc(std::uint8_t byte)
{
    const char character = static_cast<char>(byte);
    consume({&character, 1});
    return pplx::task_from_result<int_type>(byte);
}

pplx::task<std::size_t> LineSink::_putn(const std::uint8_t *bytes, std::size_t count)
{
    consume({reinterpret_cast<const char *>(bytes), count});
    return pplx::task_from_result(count);
}

pplx::task<LineSink::int_type> LineSink::_bumpc()
{
    return pplx::task_from_result<int_type>(traits::eof());
}

LineSink::int_type LineSink::_sbumpc()
{
    return traits::eof();
}

pplx::task<LineSink::int_type> LineSink::_getc()
{
    return pplx::task_from_result<int_type>(traits::eof());
}

LineSink::int_type LineSink::_sgetc()
{
    return traits::eof();
}

pplx::task<LineSink::int_type> LineSink::_nextc()
{
    return pplx::task_from_result<int_type>(traits::eof());
}

pplx::task<LineSink::int_type> LineSink::_ungetc()
{
    return pplx::task_from_result<int_type>(traits::eof());
}

pplx::task<std::size_t> LineSink::_getn(std::uint8_t *, std::size_t)
{
    return pplx::task_from_result<std::size_t>(0);
}

std::size_t LineSink::_scopy(std::uint8_t *, std::size_t)
{
    return 0;
}

pplx::task<bool> LineSink::_sync()
{
    return pplx::task_from_result(true);
}

std::uint8_t *LineSink::_alloc(std::size_t)
{
    return nullptr;
}

void LineSink::_commit(std::size_t)
{
}

void LineSink::consume(std::string_view text)
{
    while (!text.empty()) {
        const std::size_t end = text.find('\n');
        if (end == std::string_view::npos) {
            m_partial += text;
            return;
        }
        if (m_partial.empty()) {
            m_onLine(text.substr(0, end));
        } else {
            m_partial += text.substr(0, end);
            m_onLine(m_partial);
            m_partial.clear();
        }
        text.remove_prefix(end + 1);
    }
}

}
