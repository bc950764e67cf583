#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <utility>

namespace briarhinge::base
{

/**
 * A value type that can't be converted to another one with the same representation.
 *
 * @tparam Tag an empty type that distinguishes this type from others
 * @tparam Value the representation
 */
template <class Tag, class Value>
class StrongType
{
public:
    StrongType() = default;

    /** @param value the representation to wrap */
    explicit StrongType(Value value)
        : m_value(std::move(value))
    {
    }

    /** @return the representation */
    const Value &value() const
    {
        return m_value;
    }

    auto operator<=>(const StrongType &) const = default;

private:
    Value m_value{};
};

}

template <class Tag, class Value>
struct std::hash<briarhinge::base::StrongType<Tag, Value>>
{
    std::size_t operator()(const briarhinge::base::StrongType<Tag, Value> &typed) const
    {
        return std::hash<Value>{}(typed.value());
    }
};
