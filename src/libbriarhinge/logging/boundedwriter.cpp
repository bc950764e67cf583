#include "logging/boundedwriter.h"

#include <algorithm>
#include <cerrno>
#include <utility>

#include <poll.h>
#include <unistd.h>

namespace briarhinge::logging
{

namespace
{

/** Holds the lines of some seconds under load; further lines are dropped and counted. */
constexpr std::size_t maxBufferedBytes = std::size_t{256} * 1024;
/** A pipe that polls as writable accepts this many bytes without blocking. */
constexpr std::size_t chunkBytes = 4096;

}

BoundedWriter::BoundedWriter(int descriptor, FlushPolicy flushPolicy)
    : m_descriptor(descriptor)
    , m_flushPolicy(flushPolicy)
{
}

bool BoundedWriter::add(std::string_view line)
{
    const std::lock_guard lock(m_mutex);
    if (m_buffer.size() + line.size() > maxBufferedBytes) {
        writeOut();
    }
    if (m_buffer.size() + line.size() > maxBufferedBytes) {
        ++m_droppedLines;
        return false;
    }
    m_buffer += line;
    if (m_flushPolicy == FlushPolicy::EveryLine || m_buffer.size() >= chunkBytes) {
        writeOut();
    }
    return true;
}

void BoundedWriter::flush()
{
    const std::lock_guard lock(m_mutex);
    writeOut();
}

std::uint64_t BoundedWriter::takeDropped()
{
    const std::lock_guard lock(m_mutex);
    return std::exchange(m_droppedLines, 0);
}

void BoundedWriter::writeOut()
{
    std::size_t done = 0;
    while (done < m_buffer.size()) {
        pollfd state{m_descriptor, POLLOUT, 0};
        if (::poll(&state, 1, 0) <= 0 || (state.revents & POLLOUT) == 0) {
            break;
        }
        const std::size_t size = std::min(chunkBytes, m_buffer.size() - done);
        const ssize_t written = ::write(m_descriptor, m_buffer.data() + done, size);
        if (written <= 0) {
            if (written < 0 && errno == EINTR) {
                continue;
            }
            break;
        }
        done += static_cast<std::size_t>(written);
    }
    m_buffer.erase(0, done);
}

}
