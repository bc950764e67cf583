#include "state/recordcodec.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace briarhinge::state
{

namespace
{

using core::Amounts;
using core::CallRequest;
using core::Outcome;
using core::Record;
using nlohmann::json;

constexpr int hexBase = 16;

/** Tool answers can contain arbitrary bytes but JSON strings must be UTF-8, so other content is hex-encoded. */
json encodeBytes(const std::string &bytes)
{
    try {
        json text(bytes);
        static_cast<void>(text.dump());
        return text;
    } catch (const json::exception &) {
        std::string hex;
        for (const char byte : bytes) {
            hex += fmt::format("{:02x}", static_cast<unsigned char>(byte));
        }
        return {{"hex", hex}};
    }
}

std::string decodeBytes(const json &value)
{
    if (value.is_string()) {
        return value.get<std::string>();
    }
    const auto hex = value.at("hex").get<std::string>();
    std::string bytes;
    for (std::size_t i = 0; i + 1 < hex.size(); i += 2) {
        bytes.push_back(static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, hexBase)));
    }
    return bytes;
}

template <class Typed>
Typed decodeNumber(const json &object, const char *field)
{
    return Typed(object.at(field).get<std::decay_t<decltype(std::declval<Typed>().value())>>());
}

template <class Typed>
Typed decodeText(const json &object, const char *field)
{
    return Typed(decodeBytes(object.at(field)));
}

json encode(const Amounts &amounts)
{
    return {{"tokens", amounts.tokens.value()}, {"money", amounts.money.value()}, {"calls", amounts.calls}};
}

Amounts decodeAmounts(const json &object)
{
    return {decodeNumber<base::Tokens>(object, "tokens"), decodeNumber<base::MicroMoney>(object, "money"),
            object.at("calls").get<std::uint32_t>()};
}

json encode(const core::ProgramSpec &spec)
{
    json object{{"id", encodeBytes(spec.id.value())},
                {"kind", encodeBytes(spec.kind.value())},
                {"account", encodeBytes(spec.account.value())}};
    if (spec.parent) {
        object["parent"] = encodeBytes(spec.parent->value());
    }
    return object;
}

core::ProgramSpec decodeSpec(const json &object)
{
    core::ProgramSpec spec{decodeText<base::ProgramId>(object, "id"), decodeText<base::KindName>(object, "kind"),
                           decodeText<base::AccountId>(object, "account"), std::nullopt};
    if (object.contains("parent")) {
        spec.parent = decodeText<base::ProgramId>(object, "parent");
    }
    return spec;
}

json encode(const core::KindPolicy &policy)
{
    return {{"priority", policy.priority}, {"budget", encode(policy.budget)}, {"wallTimeMs", policy.wallTime.count()}};
}

core::KindPolicy decodePolicy(const json &object)
{
    core::KindPolicy policy;
    policy.priority = object.at("priority").get<std::int32_t>();
    policy.budget = decodeAmounts(object.at("budget"));
    policy.wallTime = base::Milliseconds(object.at("wallTimeMs").get<std::int64_t>());
    return policy;
}

json encode(const CallRequest &request)
{
    json object{{"number", request.number.value()},
                {"tool", request.kind == core::CallKind::Tool},
                {"target", encodeBytes(request.target.value())},
                {"input", encodeBytes(request.input)},
                {"idempotent", request.idempotent},
                {"maxTokens", request.maxTokens.value()},
                {"maxCost", request.maxCost.value()}};
    if (request.extends) {
        object["extends"] = encodeBytes(request.extends->value());
    }
    return object;
}

CallRequest decodeRequest(const json &object)
{
    CallRequest request;
    request.number = decodeNumber<base::CallNumber>(object, "number");
    request.kind = object.at("tool").get<bool>() ? core::CallKind::Tool : core::CallKind::Model;
    request.target = decodeText<base::TargetName>(object, "target");
    request.input = decodeBytes(object.at("input"));
    request.idempotent = object.at("idempotent").get<bool>();
    request.maxTokens = decodeNumber<base::Tokens>(object, "maxTokens");
    request.maxCost = decodeNumber<base::MicroMoney>(object, "maxCost");
    if (object.contains("extends")) {
        request.extends = decodeText<base::Digest>(object, "extends");
    }
    return request;
}

json encodeOutcome(const core::Completed &outcome)
{
    return {{"end", "completed"},
            {"answer", encodeBytes(outcome.answer)},
            {"prompt", outcome.usage.prompt.value()},
            {"cached", outcome.usage.cached.value()},
            {"completion", outcome.usage.completion.value()},
            {"money", outcome.usage.money.value()}};
}

json encodeOutcome(const core::NotRun &outcome)
{
    json object{{"end", "notRun"}, {"reason", encodeBytes(outcome.reason)}};
    if (outcome.retryAfter) {
        object["retryAfterMs"] = outcome.retryAfter->count();
    }
    return object;
}

json encodeOutcome(const core::Failed &outcome)
{
    return {{"end", "failed"}, {"reason", encodeBytes(outcome.reason)}};
}

json encodeOutcome(const core::Unknown &outcome)
{
    return {{"end", "unknown"}, {"reason", encodeBytes(outcome.reason)}};
}

core::Completed decodeCompleted(const json &object)
{
    return {decodeBytes(object.at("answer")),
            {decodeNumber<base::Tokens>(object, "prompt"), decodeNumber<base::Tokens>(object, "cached"),
             decodeNumber<base::Tokens>(object, "completion"), decodeNumber<base::MicroMoney>(object, "money")}};
}

core::NotRun decodeNotRun(const json &object)
{
    core::NotRun outcome{decodeBytes(object.at("reason")), std::nullopt};
    if (object.contains("retryAfterMs")) {
        outcome.retryAfter = base::Milliseconds(object.at("retryAfterMs").get<std::int64_t>());
    }
    return outcome;
}

Outcome decodeOutcome(const json &object)
{
    const auto end = object.at("end").get<std::string>();
    if (end == "completed") {
        return decodeCompleted(object);
    }
    if (end == "notRun") {
        return decodeNotRun(object);
    }
    if (end == "failed") {
        return core::Failed{decodeBytes(object.at("reason"))};
    }
    if (end == "unknown") {
        return core::Unknown{decodeBytes(object.at("reason"))};
    }
    throw std::invalid_argument(fmt::format("outcome \"{}\" is unknown", end));
}

json encode(const core::ProgramOpened &record)
{
    return {{"type", "opened"},
            {"spec", encode(record.spec)},
            {"policy", encode(record.policy)},
            {"openedAt", record.openedAt.time_since_epoch().count()},
            {"grant", encode(record.grant)}};
}

json encode(const core::BudgetGranted &record)
{
    return {{"type", "granted"}, {"root", encodeBytes(record.root.value())}, {"amounts", encode(record.amounts)}};
}

json encode(const core::CallClaimed &record)
{
    return {{"type", "claimed"}, {"program", encodeBytes(record.program.value())}, {"request", encode(record.request)}};
}

json encode(const core::ClaimWithdrawn &record)
{
    return {{"type", "withdrawn"}, {"program", encodeBytes(record.program.value())}, {"number", record.number.value()}};
}

json encode(const core::TurnFinished &record)
{
    json outcome = std::visit(
        [](const auto &ended) {
            return encodeOutcome(ended);
        },
        record.outcome);
    return {{"type", "turn"},
            {"program", encodeBytes(record.program.value())},
            {"request", encode(record.request)},
            {"outcome", std::move(outcome)}};
}

json encode(const core::ProgramEnded &record)
{
    return {{"type", "ended"}, {"program", encodeBytes(record.program.value())}};
}

json encode(const core::BudgetState &record)
{
    return {{"type", "budget"},
            {"root", encodeBytes(record.root.value())},
            {"granted", encode(record.granted)},
            {"spent", encode(record.spent)},
            {"settled", record.settled}};
}

Record decodeObject(const json &object)
{
    const auto type = object.at("type").get<std::string>();
    if (type == "opened") {
        return core::ProgramOpened{decodeSpec(object.at("spec")), decodePolicy(object.at("policy")),
                                   base::Timestamp(base::Milliseconds(object.at("openedAt").get<std::int64_t>())),
                                   decodeAmounts(object.at("grant"))};
    }
    if (type == "granted") {
        return core::BudgetGranted{decodeText<base::ProgramId>(object, "root"), decodeAmounts(object.at("amounts"))};
    }
    if (type == "claimed") {
        return core::CallClaimed{decodeText<base::ProgramId>(object, "program"), decodeRequest(object.at("request"))};
    }
    if (type == "withdrawn") {
        return core::ClaimWithdrawn{decodeText<base::ProgramId>(object, "program"),
                                    decodeNumber<base::CallNumber>(object, "number")};
    }
    if (type == "turn") {
        return core::TurnFinished{decodeText<base::ProgramId>(object, "program"), decodeRequest(object.at("request")),
                                  decodeOutcome(object.at("outcome"))};
    }
    if (type == "ended") {
        return core::ProgramEnded{decodeText<base::ProgramId>(object, "program")};
    }
    if (type == "budget") {
        return core::BudgetState{decodeText<base::ProgramId>(object, "root"), decodeAmounts(object.at("granted")),
                                 decodeAmounts(object.at("spent")), object.at("settled").get<bool>()};
    }
    throw std::invalid_argument(fmt::format("record type \"{}\" is unknown", type));
}

LogBatch decodeBatchObject(const json &object)
{
    LogBatch batch;
    batch.nonce = object.at("nonce").get<std::string>();
    batch.seal = object.value("seal", false);
    for (const json &record : object.at("records")) {
        batch.records.push_back(decodeObject(record));
    }
    return batch;
}

}

std::string encodeRecord(const Record &record)
{
    return std::visit(
        [](const auto &kind) {
            return encode(kind).dump();
        },
        record);
}

std::variant<Record, CodecError> decodeRecord(std::string_view text)
{
    try {
        return decodeObject(json::parse(text));
    } catch (const std::exception &error) {
        return CodecError{error.what()};
    }
}

std::string encodeBatch(const std::string &nonce, const std::vector<std::string> &encodedRecords)
{
    return fmt::format(R"({{"nonce":{},"records":[{}]}})", json(nonce).dump(), fmt::join(encodedRecords, ","));
}

std::string encodeSeal(const std::string &nonce)
{
    return json{{"nonce", nonce}, {"seal", true}, {"records", json::array()}}.dump();
}

std::variant<LogBatch, CodecError> decodeBatch(std::string_view text)
{
    try {
        return decodeBatchObject(json::parse(text));
    } catch (const std::exception &error) {
        return CodecError{error.what()};
    }
}

}
