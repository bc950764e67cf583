#include "http/headers.h"

#include <algorithm>

namespace briarhinge::http
{

namespace
{

char toLower(char letter)
{
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

}

bool isSameFieldName(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char one, char other) {
        return toLower(one) == toLower(other);
    });
}

std::vector<std::string_view> splitList(std::string_view list)
{
    std::vector<std::string_view> items;
    while (!list.empty()) {
        const std::size_t comma = std::min(list.find(','), list.size());
        std::string_view item = list.substr(0, comma);
        list.remove_prefix(std::min(comma + 1, list.size()));
        const std::size_t first = item.find_first_not_of(" \t");
        if (first == std::string_view::npos) {
            continue;
        }
        item = item.substr(first, item.find_last_not_of(" \t") - first + 1);
        items.push_back(item);
    }
    return items;
}

void Headers::add(std::string name, std::string value)
{
    m_fields.emplace_back(std::move(name), std::move(value));
}

std::optional<std::string_view> Headers::find(std::string_view name) const
{
    for (const auto &[fieldName, value] : m_fields) {
        if (isSameFieldName(fieldName, name)) {
            return value;
        }
    }
    return std::nullopt;
}

std::size_t Headers::count(std::string_view name) const
{
    return static_cast<std::size_t>(std::count_if(m_fields.begin(), m_fields.end(), [name](const auto &field) {
        return isSameFieldName(field.first, name);
    }));
}

const std::vector<std::pair<std::string, std::string>> &Headers::fields() const
{
    return m_fields;
}

}
