#include "runner/linesplitter.h"

#include <utility>

namespace briarhinge::runner
{

LineSplitter::LineSplitter(std::function<void(std::string_view)> onLine)
    : m_onLine(std::move(onLine))
{
}

void LineSplitter::append(std::string_view text)
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
