#pragma once

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

/** Writes numbered events as one JSON object a line to standard error. */
class EventLog
{
public:
    /** @param process the id of this process, a field of every line */
    explicit EventLog(std::string process);
    ~EventLog();

    EventLog(const EventLog &) = delete;
    EventLog &operator=(const EventLog &) = delete;

    /** @param kind what happened @param fields the particulars */
    void write(const EventKind &kind, std::initializer_list<Field> fields);

private:
    std::string m_process;
    std::shared_ptr<spdlog::logger> m_logger;
};

}
