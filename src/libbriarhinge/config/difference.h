#pragma once

#include <string>
#include <vector>

namespace briarhinge::config
{

/** One value that differs between two declarations. */
struct Difference
{
    /** Path of the value; list items are identified by name, as in "pools[chat].timeout". */
    std::string path;
    /** JSON of the old value; empty when the value was added. */
    std::string before;
    /** JSON of the new value; empty when the value was removed. */
    std::string after;

    bool operator==(const Difference &) const = default;
};

/**
 * Compares two declarations value by value.
 *
 * @param before JSON of the old declaration; empty when there is none
 * @param after JSON of the new declaration
 * @return the values that differ, sorted by path
 */
std::vector<Difference> differences(const std::string &before, const std::string &after);

}
