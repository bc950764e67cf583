#pragma once

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace briarhinge::logging
{

/** When lines leave for the reader. */
enum class Flushing {
    /** With each line. */
    Always,
    /** When enough have gathered, or on flush(). */
    Gathered,
};

/**
 * Writes lines to a file descriptor without ever waiting for its reader: lines for which there is no room are dropped
 * and counted.
 */
class BoundedWriter
{
public:
    /** @param descriptor where lines go @param flushing when they go */
    BoundedWriter(int descriptor, Flushing flushing);

    /** @param line a line with its line feed @return whether there was room for it */
    bool add(std::string_view line);

    /** Writes what the reader takes at once. */
    void flush();

    /** @return lines dropped since the last call */
    std::uint64_t takeDropped();

private:
    void writeOut();

    const int m_descriptor;
    const Flushing m_flushing;
    std::mutex m_mutex;
    std::string m_waiting;
    std::uint64_t m_dropped = 0;
};

}
