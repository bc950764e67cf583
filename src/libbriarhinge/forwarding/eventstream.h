#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace briarhinge::forwarding
{

/** Splits a stream of server-sent events into complete events and collects their data. */
class EventStream
{
public:
    /**
     * Appends bytes of the stream.
     *
     * @param bytes the next bytes
     * @return the events completed by these bytes, unmodified; empty when there are none
     */
    std::string append(std::string_view bytes);

    /** @return bytes after the last complete event */
    const std::string &remainder() const;

    /** @return whether these bytes are more than whole comments */
    bool isInsideEvent() const;

    /** @return data of all complete events so far, each followed by a line feed */
    const std::string &data() const;

    /** @return number of complete events with data so far */
    std::size_t eventCount() const;

private:
    void readEvent(std::string_view event);

    std::string m_incomplete;
    /** Where the last, unfinished line begins in it. */
    std::size_t m_lastLine = 0;
    std::string m_data;
    std::size_t m_eventCount = 0;
};

}
