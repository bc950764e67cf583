#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace briarhinge::runner
{

/** Splits a text that arrives in pieces into lines. */
class LineSplitter
{
public:
    /** @param onLine called with each line, without the line feed */
    explicit LineSplitter(std::function<void(std::string_view)> onLine);

    /** @param text the next piece of the text */
    void append(std::string_view text);

private:
    std::function<void(std::string_view)> m_onLine;
    /** The received part of an incomplete line. */
    std::string m_partial;
};

}
