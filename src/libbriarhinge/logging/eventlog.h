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
    /** @param fieldName the name @param text the value */
    Field(std::string_view fieldName, std::string text);

    /** @param fieldName the name @param number the value */
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

/** Writes numbered events as one JSON object a line to standard output; never waits for the reader. */
class EventLog
{
public:
    /**
     * @param process the id of this process, a field of every line
     * @param flushing when lines leave; with Flushing::Gathered the owner calls flush() regularly
     */
    explicit EventLog(std::string process, Flushing flushing = Flushing::Always);
    ~EventLog();

    EventLog(const EventLog &) = delete;
    EventLog &operator=(const EventLog &) = delete;

    /** @param kind what happened @param fields the particulars */
    void write(const EventKind &kind, std::initializer_list<Field> fields);

    /** Hands gathered lines to the reader, and the count of those that were dropped. */
    void flush();

private:
    std::string m_process;
    BoundedWriter m_writer;
    std::shared_ptr<spdlog::logger> m_logger;
};

}
