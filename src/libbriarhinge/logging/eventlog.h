#pragma once

#include "logging/boundedwriter.h"
#include "logging/events.h"

#include <concepts>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>

namespace spdlog
{
class logger;
}

namespace briarhinge::logging
{

/** A named value of a log line. */
struct Field
{
    /**
     * @param fieldName the name
     * @param text the value, which is written as a JSON string
     */
    Field(std::string_view fieldName, std::string text);

    /**
     * @param fieldName the name
     * @param number the value, which is written as a JSON number
     */
    Field(std::string_view fieldName, std::integral auto number)
        : name(fieldName)
        , value(std::to_string(number))
        , isNumber(true)
    {
    }

    std::string_view name;
    std::string value;
    bool isNumber = false;
};

/** Writes numbered events to standard output, one JSON object per line, without blocking on a slow reader. */
class EventLog
{
public:
    /**
     * @param process the id of this process, a field of every line
     * @param flushPolicy when lines are written; with FlushPolicy::Buffered the owner must call flush() periodically
     */
    explicit EventLog(std::string process, FlushPolicy flushPolicy = FlushPolicy::EveryLine);
    ~EventLog();

    EventLog(const EventLog &) = delete;
    EventLog &operator=(const EventLog &) = delete;

    /**
     * Logs an event.
     *
     * @param kind the kind of event
     * @param fields the details, added to the line in this order
     */
    void write(const EventKind &kind, std::initializer_list<Field> fields);

    /** Writes buffered lines and logs the number of lines dropped since the last flush. */
    void flush();

private:
    std::string m_process;
    BoundedWriter m_writer;
    std::shared_ptr<spdlog::logger> m_logger;
};

}
