#pragma once

#include "config/declaration.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace briarhinge::config
{

/** The largest declaration: with its audit entry it has to fit one value of the key-value service. */
inline constexpr std::size_t maxDeclarationBytes = std::size_t{960} * 1024;

/** A fault of a declaration. */
struct Fault
{
    /** Where, as "pools[2].timeout"; empty for the document itself. */
    std::string path;
    /** What the value must be, and what it is. */
    std::string text;

    bool operator==(const Fault &) const = default;
};

/** @return the fault as one line, "path: text" */
std::string toString(const Fault &fault);

/** Every fault of a declaration, in the order of the document. */
struct DeclarationFaults
{
    std::vector<Fault> faults;
};

/**
 * Reads a declaration. Unknown and doubled fields are refused.
 *
 * @param text JSON
 * @return the declaration, or all that is wrong with it
 */
std::variant<Declaration, DeclarationFaults> readDeclaration(std::string_view text);

}
