#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace briarhinge::runner
{

/** Extracts the data of each event from a stream of server-sent events. */
class SseParser
{
public:
    /** @param onData called with the data of each event */
    explicit SseParser(std::function<void(std::string_view)> onData);

    /** Processes a line of the stream. @param line the line, without the line feed */
    void processLine(std::string_view line);

private:
    std::function<void(std::string_view)> m_onData;
};

}
