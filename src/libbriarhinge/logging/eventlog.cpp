#include "logging/eventlog.h"

#include <nlohmann/json.hpp>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace briarhinge::logging
{

namespace
{

spdlog::level::level_enum spdlogLevel(Level level)
{
    switch (level) {
    case Level::Info:
        return spdlog::level::info;
    case Level::Warning:
        return spdlog::level::warn;
    case Level::Error:
        break;
    }
    return spdlog::level::err;
}

std::string jsonText(std::string_view text)
{
    return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}

Field::Field(std::string_view fieldName, std::string text)
    : name(fieldName)
    , value(std::move(text))
{
}

EventLog::EventLog(std::string process)
    : m_process(jsonText(process))
    , m_logger(std::make_shared<spdlog::logger>("events", std::make_shared<spdlog::sinks::stderr_sink_mt>()))
{
    m_logger->set_pattern("{\"time\":\"%Y-%m-%dT%H:%M:%S.%e%z\",\"level\":\"%l\",%v}");
}

EventLog::~EventLog() = default;

void EventLog::write(const EventKind &kind, std::initializer_list<Field> fields)
{
    std::string line = fmt::format("\"event\":{},\"name\":\"{}\",\"process\":{}", kind.number, kind.name, m_process);
    for (const Field &field : fields) {
        line += fmt::format(",\"{}\":{}", field.name, field.isNumber ? field.value : jsonText(field.value));
    }
    m_logger->log(spdlogLevel(kind.level), line);
}

}
