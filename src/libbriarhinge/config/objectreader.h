#pragma once

#include "base/units.h"
#include "config/validator.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace briarhinge::config
{

/** Reads typed fields from a JSON object and collects all validation errors with their paths. */
class ObjectReader
{
public:
    /**
     * @param object the value to read, expected to be an object
     * @param path path of the object in the document; empty for the document itself
     * @param errors receives the validation errors
     */
    ObjectReader(const nlohmann::json &object, std::string path, std::vector<ValidationError> &errors);

    /** @return whether the object contains the field */
    bool has(const std::string &field) const;

    /** @return a name of letters, digits, '-', '_' and '.'; empty on error */
    std::string name(const std::string &field);

    /** @return an integer within the inclusive bounds; the lower bound on error */
    std::int64_t number(const std::string &field, std::int64_t minimum, std::int64_t maximum);

    /** @return a floating-point number within the inclusive bounds; the lower bound on error */
    double fraction(const std::string &field, double minimum, double maximum);

    /** @return the boolean value; false on error */
    bool boolean(const std::string &field);

    /** @return the value of a duration such as "5s"; zero on error */
    base::Milliseconds duration(const std::string &field);

    /** @return the index of the field's value in @p choices; 0 on error */
    std::size_t choice(const std::string &field, const std::vector<std::string> &choices);

    /** @return a list of unique names, without the invalid ones */
    std::vector<std::string> names(const std::string &field);

    /** Reads a nested object. @param read called with a reader for the object */
    void readObject(const std::string &field, const std::function<void(ObjectReader &)> &read);

    /** Reads a list of objects with unique names. @param read called with a reader for each object */
    void readObjects(const std::string &field, const std::function<void(ObjectReader &)> &read);

    /**
     * Adds a validation error.
     *
     * @param field name of the field
     * @param text the requirement that it violates
     */
    void addError(const std::string &field, const std::string &text);

    /** Adds an error for every unknown field, which is one that was not read; must be called last. */
    void rejectUnknownFields();

private:
    const nlohmann::json *requireField(const std::string &field);
    std::string fieldPath(const std::string &field) const;
    void addInvalidValue(const std::string &field, const std::string &expected, const nlohmann::json &value);

    const nlohmann::json &m_object;
    const std::string m_path;
    std::vector<ValidationError> &m_errors;
    std::set<std::string> m_readFields;
};

}
