#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace briarhinge::http
{

/** Header fields in their original order. Names are case-insensitive. */
class Headers
{
public:
    void add(std::string name, std::string value);

    /**
     * @param name name of a field
     * @return value of the first field with that name
     */
    std::optional<std::string_view> find(std::string_view name) const;

    /**
     * @param name name of a field
     * @return number of fields with that name
     */
    std::size_t count(std::string_view name) const;

    /** @return all fields */
    const std::vector<std::pair<std::string, std::string>> &fields() const;

private:
    std::vector<std::pair<std::string, std::string>> m_fields;
};

/**
 * Compares two field names without regard to case.
 *
 * @param left a field name
 * @param right another field name
 * @return whether they are equal
 */
bool isSameFieldName(std::string_view left, std::string_view right);

/**
 * Splits a comma-separated list.
 *
 * @param list the list
 * @return the items without surrounding blanks; empty items are left out
 */
std::vector<std::string_view> splitList(std::string_view list);

}
