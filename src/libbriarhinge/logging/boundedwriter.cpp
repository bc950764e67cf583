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
constexpr std::size_t mostWaiting = std::size_t{256} * 1024;
/** A pipe that polls as writable accepts this many bytes without blocking. */
constexpr std::size_t pieceBytes = 4096;

}

BoundedWriter::BoundedWriter(int descriptor, Flushing flushing)
    : m_descriptor(descriptor)
    , m_flushing(flushing)
{
}

bool BoundedWriter::add(std::string_view line)
{
    const std::lock_guard lock(m_mutex);
    if (m_waiting.size() + line.size() > mostWaiting) {
        writeOut();
    }
    if (m_waiting.size() + line.size() > mostWaiting) {
        ++m_dropped;
        return false;
    }
    m_waiting += line;
    if (m_flushing == Flushing::Always || m_waiting.size() >= pieceBytes) {
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
    return std::exchange(m_dropped, 0);
}

void BoundedWriter::writeOut()
{
    std::size_t done = 0;
    while (done < m_waiting.size()) {
        pollfd state{m_descriptor, POLLOUT, 0};
        if (::poll(&state, 1, 0) <= 0 || (state.revents & POLLOUT) == 0) {
            break;
        }
        const std::size_t size = std::min(pieceBytes, m_waiting.size() - done);
        const ssize_t written = ::write(m_descriptor, m_waiting.data() + done, size);
        if (written <= 0) {
            if (written < 0 && errno == EINTR) {
                continue;
            }
            break;
        }
        done += static_cast<std::size_t>(written);
    }
    m_waiting.erase(0, done);
}

}
