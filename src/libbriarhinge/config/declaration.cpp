#include "config/declaration.h"

#include "config/duration.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace briarhinge::config
{

namespace
{

using Json = nlohmann::ordered_json;

template <class Named>
Json namesToJson(const std::vector<Named> &names)
{
    Json list = Json::array();
    for (const Named &name : names) {
        list.push_back(name.value());
    }
    return list;
}

Json toObject(const KindDeclaration &kind);
Json toObject(const ModelDeclaration &model);
Json toObject(const ToolDeclaration &tool);
Json toObject(const PoolDeclaration &pool);
Json toObject(const AccountDeclaration &account);

template <class Item>
Json objectsToJson(const std::vector<Item> &items)
{
    Json list = Json::array();
    for (const Item &item : items) {
        list.push_back(toObject(item));
    }
    return list;
}

Json toObject(const KindDeclaration &kind)
{
    return {
        {"name", kind.name.value()},
        {"priority", kind.priority},
        {"budget",
         {{"tokens", kind.budget.tokens.value()}, {"money", kind.budget.money.value()}, {"calls", kind.budget.calls}}},
        {"wallTime", formatDuration(kind.wallTime)},
        {"cacheWeight", kind.cacheWeight}};
}

Json toObject(const ModelDeclaration &model)
{
    return {{"name", model.name.value()}, {"version", model.version}, {"adapters", model.adapters}};
}

Json toObject(const ToolDeclaration &tool)
{
    Json object{{"name", tool.name.value()}, {"idempotent", tool.idempotent}};
    if (tool.timeout) {
        object["timeout"] = formatDuration(*tool.timeout);
    }
    return object;
}

Json toObject(const PoolDeclaration &pool)
{
    Json object{{"name", pool.name.value()}, {"type", pool.type == PoolType::Engine ? "engine" : "tool"}};
    if (pool.selector) {
        object["selector"] = {{"pool", pool.selector->pool.value()}, {"zones", namesToJson(pool.selector->zones)}};
    } else {
        object["members"] = pool.members;
    }
    object["timeout"] = formatDuration(pool.timeout);
    object["checksFencing"] = pool.checksFencing;
    object["minimumLive"] = pool.minimumLive;
    if (pool.type == PoolType::Engine) {
        object["models"] = objectsToJson(pool.models);
    } else {
        object["tools"] = objectsToJson(pool.tools);
    }
    return object;
}

Json toObject(const AccountDeclaration &account)
{
    return {{"name", account.name.value()},
            {"maxPrograms", account.maxPrograms},
            {"maxCallsPerSecond", account.maxCallsPerSecond}};
}

}

const KindDeclaration *findKind(const Declaration &declaration, const base::KindName &kind)
{
    const auto found = std::find_if(declaration.kinds.begin(), declaration.kinds.end(), [&](const auto &declared) {
        return declared.name == kind;
    });
    return found == declaration.kinds.end() ? nullptr : &*found;
}

std::string toJson(const Declaration &declaration)
{
    const Json object{{"deployment", declaration.deployment},
                      {"kinds", objectsToJson(declaration.kinds)},
                      {"pools", objectsToJson(declaration.pools)},
                      {"accounts", objectsToJson(declaration.accounts)}};
    return object.dump(2) + "\n";
}

}
