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
std::string_view removeFirstLine(std::string_view &text)
{
    const std::size_t end = std::min(text.find('\n'), text.size());
    std::string_view line = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    if (line.ends_with('\r')) {
        line.remove_suffix(1);
    }
    return line;
}

}

std::string EventStream::append(std::string_view bytes)
{
    std::size_t unread = m_incomplete.size();
    m_incomplete += bytes;
    const std::string_view text = m_incomplete;
    std::size_t whole = 0;
    std::size_t line = m_lastLine;
    for (std::size_t end = text.find('\n', unread); end != std::string_view::npos; end = text.find('\n', unread)) {
        unread = end + 1;
        const std::string_view content = text.substr(line, end - line);
        line = unread;
        if (content.empty() || content == "\r") {
            readEvent(text.substr(whole, unread - whole));
            whole = unread;
        }
    }
    std::string events = m_incomplete.substr(0, whole);
    m_incomplete.erase(0, whole);
    m_lastLine = line - whole;
    return events;
}

void EventStream::readEvent(std::string_view event)
{
    std::string data;
    bool hasData = false;
    while (!event.empty()) {
        std::string_view line = removeFirstLine(event);
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
        ++m_eventCount;
    }
}

const std::string &EventStream::remainder() const
{
    return m_incomplete;
}

bool EventStream::isInsideEvent() const
{
    std::string_view left = m_incomplete;
    while (left.starts_with(':') && left.find('\n') != std::string_view::npos) {
        removeFirstLine(left);
    }
    return !left.empty();
}

const std::string &EventStream::data() const
{
    return m_data;
}

std::size_t EventStream::eventCount() const
{
    return m_eventCount;
}

}
