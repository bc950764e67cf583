#include "api/json.h"

#include <algorithm>
#include <cctype>
#include <optional>
#include <type_traits>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace briarhinge::api
{

namespace
{

using nlohmann::json;

constexpr std::uint16_t statusOk = 200;
constexpr std::uint16_t statusBadRequest = 400;
constexpr std::uint16_t statusNotFound = 404;
constexpr std::uint16_t statusConflict = 409;
constexpr std::uint16_t statusFailed = 502;
constexpr std::uint16_t statusUnknown = 504;

constexpr std::uint64_t defaultMaxTokens = 256;
constexpr std::uint64_t maxTokensPerCall = 1'000'000;
constexpr std::uint64_t maxCostPerCall = 1'000'000'000'000;

std::string dump(const json &value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

/** Maximum number of bytes of the caller's text that an error message quotes. */
constexpr std::size_t maxQuotedBytes = 100;

std::string truncatedText(std::string_view text)
{
    return text.size() <= maxQuotedBytes ? std::string(text) : std::string(text.substr(0, maxQuotedBytes)) + "...";
}

/**
 * Formats a value for an error message. Arrays and objects are represented by their type, since printing a deeply
 * nested value could overflow the stack.
 */
std::string printableValue(const json &value)
{
    return value.is_structured() ? std::string("an ") + value.type_name() : truncatedText(dump(value));
}

/** Reads the fields of a JSON object. Records the first error, and which fields were read to detect unknown ones. */
class FieldReader
{
public:
    explicit FieldReader(std::string_view body)
        : m_object(json::parse(body, nullptr, false))
    {
        if (m_object.is_discarded()) {
            fail("body-not-json", "the body is not JSON");
        } else if (!m_object.is_object()) {
            fail("body-not-object", "the body must be a JSON object");
        }
    }

    std::optional<std::string> optionalText(const char *field)
    {
        const json *value = findField(field);
        if (value == nullptr) {
            return std::nullopt;
        }
        if (!value->is_string()) {
            fail("field-type", fmt::format("field \"{}\" must be a string, is {}", field, printableValue(*value)));
            return std::nullopt;
        }
        return value->get<std::string>();
    }

    std::string text(const char *field)
    {
        const auto value = optionalText(field);
        if (!value || value->empty()) {
            fail("field-missing", fmt::format("field \"{}\" must be given", field));
        }
        return value.value_or("");
    }

    std::uint64_t number(const char *field, std::uint64_t fallback, std::uint64_t maximum)
    {
        const json *value = findField(field);
        if (value == nullptr) {
            return fallback;
        }
        if (!value->is_number_unsigned() || value->get<std::uint64_t>() > maximum) {
            fail("field-range",
                 fmt::format("field \"{}\" must be a whole number from 0 to {}, is {}", field, maximum,
                             printableValue(*value)));
            return fallback;
        }
        return value->get<std::uint64_t>();
    }

    bool flag(const char *field, bool fallback)
    {
        const json *value = findField(field);
        if (value == nullptr) {
            return fallback;
        }
        if (!value->is_boolean()) {
            fail("field-type", fmt::format("field \"{}\" must be true or false, is {}", field, printableValue(*value)));
            return fallback;
        }
        return value->get<bool>();
    }

    void fail(std::string code, std::string text)
    {
        if (!m_error) {
            m_error = BadRequest{std::move(code), std::move(text)};
        }
    }

    /** @return the first error; fields that were never read count as errors */
    std::optional<BadRequest> firstError()
    {
        if (!m_error) {
            for (const auto &[field, value] : m_object.items()) {
                if (std::find(m_readFields.begin(), m_readFields.end(), field) == m_readFields.end()) {
                    fail("field-unknown", fmt::format("field \"{}\" is not known here", truncatedText(field)));
                }
            }
        }
        return m_error;
    }

private:
    const json *findField(const char *field)
    {
        m_readFields.emplace_back(field);
        if (m_error) {
            return nullptr;
        }
        const auto found = m_object.find(field);
        return found == m_object.end() || found->is_null() ? nullptr : &*found;
    }

    json m_object;
    std::vector<std::string> m_readFields;
    std::optional<BadRequest> m_error;
};

core::CallKind readCallKind(FieldReader &reader)
{
    const std::string type = reader.text("type");
    if (type == "tool") {
        return core::CallKind::Tool;
    }
    if (type != "model") {
        reader.fail("field-range",
                    fmt::format("field \"type\" must be \"model\" or \"tool\", is \"{}\"", truncatedText(type)));
    }
    return core::CallKind::Model;
}

ClientReply errorReply(std::uint16_t status, const std::string &code, const std::string &text)
{
    return {status, dump({{"error", {{"code", code}, {"text", text}}}}), std::nullopt};
}

std::pair<std::uint16_t, const char *> statusAndCode(core::RefusalCode code)
{
    switch (code) {
    case core::RefusalCode::ProgramUnknown:
        return {statusNotFound, "program-unknown"};
    case core::RefusalCode::ProgramDiffers:
        return {statusConflict, "program-differs"};
    case core::RefusalCode::ProgramHasEnded:
        return {statusConflict, "program-has-ended"};
    case core::RefusalCode::ParentUnknown:
        return {statusNotFound, "parent-unknown"};
    case core::RefusalCode::CallOutOfOrder:
        return {statusConflict, "call-out-of-order"};
    case core::RefusalCode::CallDiffers:
        return {statusConflict, "call-differs"};
    case core::RefusalCode::HistoryDiffers:
        break;
    }
    return {statusConflict, "history-differs"};
}

json toJson(const core::Amounts &amounts)
{
    return {{"tokens", amounts.tokens.value()}, {"money", amounts.money.value()}, {"calls", amounts.calls}};
}

/**
 * Adds an outcome to the JSON object of a call.
 *
 * @param object the object, modified in place
 * @param outcome the outcome
 * @return the HTTP status of the outcome
 */
std::uint16_t addOutcome(json &object, const core::Outcome &outcome)
{
    if (const auto *completed = std::get_if<core::Completed>(&outcome)) {
        object["outcome"] = "completed";
        object["answer"] = completed->answer;
        object["usage"] = {{"prompt", completed->usage.prompt.value()},
                           {"cached", completed->usage.cached.value()},
                           {"completion", completed->usage.completion.value()},
                           {"money", completed->usage.money.value()}};
        return statusOk;
    }
    if (const auto *notRun = std::get_if<core::NotRun>(&outcome)) {
        object["outcome"] = "notRun";
        object["reason"] = notRun->reason;
        if (notRun->retryAfter) {
            object["retryAfterMs"] = notRun->retryAfter->count();
        }
        return statusNotRun;
    }
    if (const auto *failed = std::get_if<core::Failed>(&outcome)) {
        object["outcome"] = "failed";
        object["reason"] = failed->reason;
        return statusFailed;
    }
    object["outcome"] = "unknown";
    object["reason"] = std::get<core::Unknown>(outcome).reason;
    return statusUnknown;
}

}

bool isValidId(std::string_view id)
{
    if (id.empty() || id.size() > maxIdBytes || id.front() == '.' || id.back() == '.') {
        return false;
    }
    const bool hasOnlyAllowedCharacters = std::all_of(id.begin(), id.end(), [](unsigned char character) {
        return std::isalnum(character) != 0 || character == '-' || character == '_' || character == '.';
    });
    return hasOnlyAllowedCharacters && id.find("..") == std::string_view::npos;
}

std::variant<core::ProgramSpec, BadRequest> parseProgram(std::string_view body)
{
    FieldReader reader(body);
    core::ProgramSpec spec;
    spec.id = base::ProgramId(reader.text("id"));
    spec.kind = base::KindName(reader.text("kind"));
    spec.account = base::AccountId(reader.text("account"));
    if (const auto parent = reader.optionalText("parent")) {
        spec.parent = base::ProgramId(*parent);
    }
    if (!isValidId(spec.id.value())) {
        reader.fail("field-range",
                    fmt::format("field \"id\" must be letters, digits, '-', '_' and single '.', at most {} bytes, "
                                "is \"{}\"",
                                maxIdBytes, truncatedText(spec.id.value())));
    }
    if (spec.parent != core::parentProgramId(spec.id)) {
        reader.fail("field-range",
                    fmt::format("field \"id\" of a sub-program must be its parent's id, '.', and a name; "
                                "field \"parent\" must name that parent; id is \"{}\"",
                                spec.id.value()));
    }
    if (const auto error = reader.firstError()) {
        return *error;
    }
    return spec;
}

std::variant<core::CallRequest, BadRequest> parseCall(base::CallNumber number, std::string_view body)
{
    FieldReader reader(body);
    core::CallRequest request;
    request.number = number;
    request.kind = readCallKind(reader);
    request.target = base::TargetName(reader.text(request.kind == core::CallKind::Model ? "model" : "tool"));
    request.input = reader.text("input");
    request.idempotent = reader.flag("idempotent", request.kind == core::CallKind::Model);
    request.maxTokens = base::Tokens(reader.number("maxTokens", defaultMaxTokens, maxTokensPerCall));
    request.maxCost = base::MicroMoney(reader.number("maxCost", 0, maxCostPerCall));
    if (const auto extends = reader.optionalText("extends")) {
        request.extends = base::Digest(*extends);
    }
    if (request.kind == core::CallKind::Model && !request.idempotent) {
        reader.fail("field-range", "field \"idempotent\" must be true for a model call, is false");
    }
    if (number.value() == 0) {
        reader.fail("field-range", "the call number must be from 1, is 0");
    }
    if (const auto error = reader.firstError()) {
        return *error;
    }
    return request;
}

ClientReply unavailableReply(std::string_view code, const std::string &text, base::Milliseconds retryAfter)
{
    ClientReply reply = errorReply(statusNotRun, std::string(code), text);
    reply.retryAfter = retryAfter;
    return reply;
}

ClientReply toReply(const BadRequest &bad)
{
    return errorReply(statusBadRequest, bad.code, bad.text);
}

ClientReply toReply(const core::Refuse &refuse)
{
    const auto [status, code] = statusAndCode(refuse.code);
    return errorReply(status, code, refuse.text);
}

ClientReply toReply(const ProgramView &view)
{
    json object{{"id", view.spec.id.value()},           {"kind", view.spec.kind.value()},
                {"account", view.spec.account.value()}, {"nextCall", view.nextCall.value()},
                {"history", view.head.value()},         {"ended", view.ended},
                {"spent", toJson(view.spent)},          {"budget", toJson(view.limit)}};
    if (view.spec.parent) {
        object["parent"] = view.spec.parent->value();
    }
    return {statusOk, dump(object), std::nullopt};
}

ClientReply toReply(const CallView &view)
{
    json object{{"program", view.program.value()}, {"call", view.number.value()}};
    const std::uint16_t status = addOutcome(object, view.outcome);
    std::optional<base::Milliseconds> retryAfter;
    if (const auto *notRun = std::get_if<core::NotRun>(&view.outcome)) {
        retryAfter = notRun->retryAfter;
    } else if (!view.digest.value().empty()) {
        object["history"] = view.digest.value();
        object["committed"] = view.committed;
    }
    return {status, dump(object), retryAfter};
}

}
