#include "runner/sseparser.h"

namespace briarhinge::runner
{

SseParser::SseParser(std::function<void(std::string_view)> onData)
    : m_onData(std::move(onData))
{
}

void SseParser::processLine(std::string_view line)
{
    constexpr std::string_view field = "data:";
    if (!line.empty() && line.back() == '\r') {
        line.remove_suffix(1);
    }
    if (!line.starts_with(field)) {
        return;
    }
    line.remove_prefix(field.size());
    if (!line.empty() && line.front() == ' ') {
        line.remove_prefix(1);
    }
    m_onData(line);
}

}
