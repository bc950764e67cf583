#pragma once

#include "config/declaration.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace briarhinge::config
{

/** Maximum size of a declaration. Together with its audit entry it must fit into one value of the key-value service. */
inline constexpr std::size_t maxDeclarationBytes = std::size_t{960} * 1024;

/** A validation error in a declaration. */
struct ValidationError
{
    /** Path of the value, such as "pools[2].timeout"; empty for the document itself. */
    std::string path;
    /** The expected value and the actual one. */
    std::string text;

    bool operator==(const ValidationError &) const = default;
};

/** @return the error as one line, "path: text" */
std::string toString(const ValidationError &error);

/** All validation errors of a declaration, in document order. */
struct DeclarationErrors
{
    std::vector<ValidationError> errors;
};

/**
 * Parses and validates a declaration. Unknown and duplicate fields are errors.
 *
 * @param text the JSON document
 * @return the declaration, or all validation errors
 */
std::variant<Declaration, DeclarationErrors> readDeclaration(std::string_view text);

}
