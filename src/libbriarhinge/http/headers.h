#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace briarhinge::http
{

/** Header fields in the order in which they came; names compare without regard to case. */
class Headers
{
public:
    /** @param name the name @param value the value */
    void add(std::string name, std::string value);

    /** @param name a name @return the value of the first field of that name */
    std::optional<std::string_view> find(std::string_view name) const;

    /** @param name a name @return how many fields have it */
    std::size_t count(std::string_view name) const;

    /** @return every field */
    const std::vector<std::pair<std::string, std::string>> &fields() const;

private:
    std::vector<std::pair<std::string, std::string>> m_fields;
};

/** @return whether two header names are the same @param left a name @param right a name */
bool sameName(std::string_view left, std::string_view right);

/** @param list a comma-separated list @return its trimmed items, empty ones left out */
std::vector<std::string_view> splitList(std::string_view list);

}
