#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace briarhinge::forwarding
{

/** Splits a stream of events into whole events, and collects what they say. */
class EventStream
{
public:
    /**
     * Takes in bytes of the stream.
     *
     * @param bytes the next bytes
     * @return the whole events that are complete now, as they came; empty when there are none
     */
    std::string take(std::string_view bytes);

    /** @return bytes behind the last whole event */
    const std::string &rest() const;

    /** @return the data of each whole event so far, each followed by a line feed */
    const std::string &data() const;

    /** @return how many whole events there were */
    std::size_t count() const;

private:
    void readEvent(std::string_view event);

    std::string m_rest;
    std::string m_data;
    std::size_t m_count = 0;
};

}
