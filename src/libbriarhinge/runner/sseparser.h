#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace briarhinge::runner
{

/** Cuts a stream of server-sent events into the data of each event. */
class SseParser
{
public:
    /** @param onData called with the data of each event */
    explicit SseParser(std::function<void(std::string_view)> onData);

    /** @param line one line of the stream, without its end */
    void line(std::string_view line);

private:
    std::function<void(std::string_view)> m_onData;
};

}
