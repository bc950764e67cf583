#pragma once

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace briarhinge::logging
{

/** When lines are written to the descriptor. */
enum class FlushPolicy {
    /** After each line. */
    EveryLine,
    /** When the buffer holds a full chunk, or on flush(). */
    Buffered,
};

/**
 * Writes lines to a file descriptor without blocking on a slow reader: lines that don't fit into the buffer are dropped
 * and counted. Thread-safe.
 */
class BoundedWriter
{
public:
    /**
     * @param descriptor the file descriptor, which is not closed
     * @param flushPolicy when lines are written
     */
    BoundedWriter(int descriptor, FlushPolicy flushPolicy);

    /**
     * Adds a line to the buffer.
     *
     * @param line the line with its line feed
     * @return whether the line fitted; otherwise it is dropped
     */
    bool add(std::string_view line);

    /** Writes as much of the buffer as the descriptor accepts without blocking. */
    void flush();

    /** @return number of lines dropped since the last call */
    std::uint64_t takeDropped();

private:
    void writeOut();

    const int m_descriptor;
    const FlushPolicy m_flushPolicy;
    std::mutex m_mutex;
    std::string m_buffer;
    std::uint64_t m_droppedLines = 0;
};

}
