#include "config/difference.h"

#include <map>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace briarhinge::config
{

namespace
{

using nlohmann::json;
using Leaves = std::map<std::string, std::string>;

std::string itemLabel(const json &item, std::size_t index)
{
    if (item.is_object() && item.contains("name") && item["name"].is_string()) {
        return item["name"].get<std::string>();
    }
    return std::to_string(index);
}

/** Collects every scalar and every empty object or list, keyed by path. */
void flatten(const json &value, const std::string &path, Leaves &leaves)
{
    if (value.is_object() && !value.empty()) {
        for (const auto &[field, inner] : value.items()) {
            flatten(inner, path.empty() ? field : fmt::format("{}.{}", path, field), leaves);
        }
    } else if (value.is_array() && !value.empty()) {
        for (std::size_t i = 0; i < value.size(); ++i) {
            flatten(value[i], fmt::format("{}[{}]", path, itemLabel(value[i], i)), leaves);
        }
    } else {
        leaves[path] = value.dump(-1, ' ', false, json::error_handler_t::replace);
    }
}

Leaves parseLeaves(const std::string &text)
{
    Leaves leaves;
    const json document = json::parse(text, nullptr, false);
    if (document.is_object()) {
        flatten(document, "", leaves);
    }
    return leaves;
}

}

std::vector<Difference> differences(const std::string &before, const std::string &after)
{
    const Leaves oldLeaves = parseLeaves(before);
    Leaves all = parseLeaves(after);
    std::vector<Difference> found;
    const Leaves newLeaves = all;
    all.insert(oldLeaves.begin(), oldLeaves.end());
    for (const auto &[path, unused] : all) {
        const auto oldValue = oldLeaves.find(path);
        const auto newValue = newLeaves.find(path);
        Difference difference{path, oldValue == oldLeaves.end() ? "" : oldValue->second,
                              newValue == newLeaves.end() ? "" : newValue->second};
        if (difference.before != difference.after) {
            found.push_back(std::move(difference));
        }
    }
    return found;
}

}
