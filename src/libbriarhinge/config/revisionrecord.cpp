#include "config/revisionrecord.h"

#include <fmt/chrono.h>
#include <nlohmann/json.hpp>

namespace briarhinge::config
{

using nlohmann::json;

std::string encode(const RevisionRecord &record)
{
    const json value{{"who", record.audit.who},          {"whenMs", record.audit.when.time_since_epoch().count()},
                     {"what", record.audit.what},        {"from", record.audit.from.value()},
                     {"to", record.audit.to.value()},    {"nonce", record.audit.nonce},
                     {"declaration", record.declaration}};
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<RevisionRecord> decodeRecord(const std::string &value)
{
    try {
        const json parsed = json::parse(value);
        RevisionRecord record;
        record.audit.who = parsed.at("who").get<std::string>();
        record.audit.when = base::Timestamp(base::Milliseconds(parsed.at("whenMs").get<std::int64_t>()));
        record.audit.what = parsed.at("what").get<std::string>();
        record.audit.from = base::Revision(parsed.at("from").get<std::uint64_t>());
        record.audit.to = base::Revision(parsed.at("to").get<std::uint64_t>());
        record.audit.nonce = parsed.at("nonce").get<std::string>();
        record.declaration = parsed.at("declaration").get<std::string>();
        return record;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

std::string formatTime(base::Timestamp time)
{
    constexpr std::int64_t msPerSecond = 1000;
    const std::int64_t count = time.time_since_epoch().count();
    return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(static_cast<std::time_t>(count / msPerSecond)),
                       count % msPerSecond);
}

}
