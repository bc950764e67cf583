#include "forwarding/eventstream.h"

#include <algorithm>

namespace briarhinge::forwarding
{

namespace
{

constexpr std::string_view dataField = "data:";

/**
 * Removes the first line from a text.
 *
 * @param text the text; starts at the next line afterwards
 * @return the line without its line ending
 */
std::string_view takeLine(std::string_view &text)
{
    const std::size_t end = std::min(text.find('\n'), text.size());
    std::string_view line = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    if (line.ends_with('\r')) {
        line.remove_suffix(1);
    }
    return line;
}

/** @return length of the first event including the empty line that ends it, or 0 when the event is incomplete */
std::size_t firstEventLength(std::string_view text)
{
    std::string_view left = text;
    while (left.find('\n') != std::string_view::npos) {
        if (takeLine(left).empty()) {
            return text.size() - left.size();
        }
    }
    return 0;
}

}

std::string EventStream::take(std::string_view bytes)
{
    m_rest += bytes;
    std::size_t whole = 0;
    while (const std::size_t length = firstEventLength(std::string_view(m_rest).substr(whole))) {
        readEvent(std::string_view(m_rest).substr(whole, length));
        whole += length;
    }
    std::string events = m_rest.substr(0, whole);
    m_rest.erase(0, whole);
    return events;
}

void EventStream::readEvent(std::string_view event)
{
    std::string data;
    bool hasData = false;
    while (!event.empty()) {
        std::string_view line = takeLine(event);
        if (!line.starts_with(dataField)) {
            continue;
        }
        line.remove_prefix(dataField.size());
        if (line.starts_with(' ')) {
            line.remove_prefix(1);
        }
        if (hasData) {
            data += '\n';
        }
        data += line;
        hasData = true;
    }
    if (hasData) {
        m_data += data;
        m_data += '\n';
        ++m_count;
    }
}

const std::string &EventStream::rest() const
{
    return m_rest;
}

const std::string &EventStream::data() const
{
    return m_data;
}

std::size_t EventStream::count() const
{
    return m_count;
}

}
