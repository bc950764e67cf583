#include "config/validator.h"

#include "config/objectreader.h"

#include <limits>

#include <fmt/format.h>

namespace briarhinge::config
{

namespace
{

using nlohmann::json;

constexpr std::int64_t maxPriority = 1000;
/** Deeper documents are rejected before any recursive function processes them. */
constexpr int maxDepth = 32;
constexpr std::int64_t maxAmount = std::numeric_limits<std::int64_t>::max();
constexpr std::int64_t maxCount = std::numeric_limits<std::uint32_t>::max();

/** Parses JSON. Rejects duplicate fields in an object, which JSON libraries ignore, and deeply nested documents. */
class DocumentParser
{
public:
    std::variant<json, ValidationError> parse(std::string_view text)
    {
        try {
            json document = json::parse(text, [this](int depth, json::parse_event_t event, json &parsed) {
                return handleEvent(depth, event, parsed);
            });
            if (m_isTooDeep) {
                return ValidationError{"", fmt::format("must be at most {} levels deep", maxDepth)};
            }
            if (!m_duplicateField.empty()) {
                return ValidationError{m_duplicateField, "is given twice in one object"};
            }
            return document;
        } catch (const json::exception &error) {
            return ValidationError{"", fmt::format("must be JSON: {}", error.what())};
        }
    }

private:
    bool handleEvent(int depth, json::parse_event_t event, const json &parsed)
    {
        if (depth > maxDepth) {
            m_isTooDeep = true;
            return false;
        }
        if (event == json::parse_event_t::object_start) {
            m_fieldsByLevel.resize(static_cast<std::size_t>(depth) + 1);
            m_fieldsByLevel.back().clear();
        } else if (event == json::parse_event_t::key) {
            m_fieldsByLevel.resize(static_cast<std::size_t>(depth));
            if (!m_fieldsByLevel.back().insert(parsed.get<std::string>()).second && m_duplicateField.empty()) {
                m_duplicateField = parsed.get<std::string>();
            }
        }
        return true;
    }

    /** Field names seen so far in each of the nested objects being parsed, outermost first. */
    std::vector<std::set<std::string>> m_fieldsByLevel;
    std::string m_duplicateField;
    bool m_isTooDeep = false;
};

KindDeclaration readKind(ObjectReader &reader)
{
    KindDeclaration kind;
    kind.name = base::KindName(reader.name("name"));
    kind.priority = static_cast<std::int32_t>(reader.number("priority", -maxPriority, maxPriority));
    reader.readObject("budget", [&](ObjectReader &budget) {
        kind.budget.tokens = base::Tokens(static_cast<std::uint64_t>(budget.number("tokens", 1, maxAmount)));
        kind.budget.money = base::MicroMoney(static_cast<std::uint64_t>(budget.number("money", 0, maxAmount)));
        kind.budget.calls = static_cast<std::uint32_t>(budget.number("calls", 1, maxCount));
    });
    kind.wallTime = reader.duration("wallTime");
    kind.cacheWeight = reader.fraction("cacheWeight", 0, 1);
    return kind;
}

ModelDeclaration readModel(ObjectReader &reader)
{
    ModelDeclaration model;
    model.name = base::TargetName(reader.name("name"));
    model.version = reader.name("version");
    model.adapters = reader.names("adapters");
    return model;
}

ToolDeclaration readTool(ObjectReader &reader)
{
    ToolDeclaration tool;
    tool.name = base::TargetName(reader.name("name"));
    tool.idempotent = reader.boolean("idempotent");
    if (reader.has("timeout")) {
        tool.timeout = reader.duration("timeout");
    }
    return tool;
}

PoolSelector readSelector(ObjectReader &reader)
{
    PoolSelector selector;
    selector.pool = base::PoolName(reader.name("pool"));
    for (std::string &zone : reader.names("zones")) {
        selector.zones.emplace_back(std::move(zone));
    }
    return selector;
}

void readMembers(ObjectReader &reader, PoolDeclaration &pool)
{
    if (reader.has("members") && reader.has("selector")) {
        reader.addError("selector", "must not be given together with \"members\"");
    }
    if (reader.has("selector")) {
        reader.readObject("selector", [&](ObjectReader &selector) {
            pool.selector = readSelector(selector);
        });
    }
    if (reader.has("members") || !reader.has("selector")) {
        pool.members = reader.names("members");
    }
}

PoolDeclaration readPool(ObjectReader &reader)
{
    PoolDeclaration pool;
    pool.name = base::PoolName(reader.name("name"));
    pool.type = reader.choice("type", {"engine", "tool"}) == 0 ? PoolType::Engine : PoolType::Tool;
    readMembers(reader, pool);
    pool.timeout = reader.duration("timeout");
    pool.checksFencing = reader.boolean("checksFencing");
    pool.minimumLive = static_cast<std::uint32_t>(reader.number("minimumLive", 0, maxCount));
    if (!pool.selector && pool.minimumLive > pool.members.size()) {
        reader.addError(
            "minimumLive",
            fmt::format("must be at most the number of members, {}, is {}", pool.members.size(), pool.minimumLive));
    }
    if (pool.type == PoolType::Engine) {
        reader.readObjects("models", [&](ObjectReader &model) {
            pool.models.push_back(readModel(model));
        });
    } else {
        reader.readObjects("tools", [&](ObjectReader &tool) {
            pool.tools.push_back(readTool(tool));
        });
    }
    return pool;
}

AccountDeclaration readAccount(ObjectReader &reader)
{
    AccountDeclaration account;
    account.name = base::AccountId(reader.name("name"));
    account.maxPrograms = static_cast<std::uint32_t>(reader.number("maxPrograms", 1, maxCount));
    account.maxCallsPerSecond = static_cast<std::uint32_t>(reader.number("maxCallsPerSecond", 1, maxCount));
    return account;
}

Declaration readDocument(ObjectReader &reader)
{
    Declaration declaration;
    declaration.deployment = reader.name("deployment");
    reader.readObjects("kinds", [&](ObjectReader &kind) {
        declaration.kinds.push_back(readKind(kind));
    });
    reader.readObjects("pools", [&](ObjectReader &pool) {
        declaration.pools.push_back(readPool(pool));
    });
    reader.readObjects("accounts", [&](ObjectReader &account) {
        declaration.accounts.push_back(readAccount(account));
    });
    return declaration;
}

}

std::string toString(const ValidationError &error)
{
    return error.path.empty() ? error.text : error.path + ": " + error.text;
}

std::variant<Declaration, DeclarationErrors> readDeclaration(std::string_view text)
{
    if (text.size() > maxDeclarationBytes) {
        return DeclarationErrors{
            {{"", fmt::format("must be at most {} bytes, is {}", maxDeclarationBytes, text.size())}}};
    }
    const auto parsed = DocumentParser().parse(text);
    if (const auto *error = std::get_if<ValidationError>(&parsed)) {
        return DeclarationErrors{{*error}};
    }
    const json &document = std::get<json>(parsed);
    std::vector<ValidationError> errors;
    ObjectReader reader(document, "", errors);
    if (!document.is_object()) {
        return DeclarationErrors{std::move(errors)};
    }
    Declaration declaration = readDocument(reader);
    reader.rejectUnknownFields();
    if (!errors.empty()) {
        return DeclarationErrors{std::move(errors)};
    }
    return declaration;
}

}
