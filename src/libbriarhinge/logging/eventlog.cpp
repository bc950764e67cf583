#include "logging/eventlog.h"

#include <nlohmann/json.hpp>
#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>

#include <unistd.h>

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

/** Passes formatted lines to a writer. Needs no mutex, since the writer has its own. */
class WriterSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex>
{
public:
    explicit WriterSink(BoundedWriter &writer)
        : m_writer(writer)
    {
    }

protected:
    void sink_it_(const spdlog::details::log_msg &message) override
    {
        spdlog::memory_buf_t line;
        formatter_->format(message, line);
        m_writer.add({line.data(), line.size()});
    }

    void flush_() override
    {
        m_writer.flush();
    }

private:
    BoundedWriter &m_writer;
};

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

EventLog::EventLog(std::string process, FlushPolicy flushPolicy)
    : m_process(jsonText(process))
    , m_writer(STDOUT_FILENO, flushPolicy)
    , m_logger(std::make_shared<spdlog::logger>("events", std::make_shared<WriterSink>(m_writer)))
{
    m_logger->set_pattern("{\"time\":\"%Y-%m-%dT%H:%M:%S.%e%z\",\"level\":\"%l\",%v}");
}

EventLog::~EventLog()
{
    m_writer.flush();
}

void EventLog::write(const EventKind &kind, std::initializer_list<Field> fields)
{
    std::string line = fmt::format("\"event\":{},\"name\":\"{}\",\"process\":{}", kind.number, kind.name, m_process);
    for (const Field &field : fields) {
        line += fmt::format(",\"{}\":{}", field.name, field.isNumber ? field.value : jsonText(field.value));
    }
    m_logger->log(spdlogLevel(kind.level), line);
}

void EventLog::flush()
{
    if (const std::uint64_t dropped = m_writer.takeDropped(); dropped > 0) {
        write(events::linesDropped, {{"lines", dropped}});
    }
    m_writer.flush();
}

}
