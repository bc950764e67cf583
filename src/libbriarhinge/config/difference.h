#pragma once

#include <string>
#include <vector>

namespace briarhinge::config
{

/** One value that differs between two declarations. */
struct Difference
{
    /** Where; members of lists go by their names, as "pools[chat].timeout". */
    std::string path;
    /** JSON of the value before; empty when it is new. */
    std::string before;
    /** JSON of the value after; empty when it is gone. */
    std::string after;

    bool operator==(const Difference &) const = default;
};

/**
 * @param before JSON of a declaration; an empty text stands for none
 * @param after JSON of another
 * @return what differs, in the order of the paths
 */
std::vector<Difference> differences(const std::string &before, const std::string &after);

}
