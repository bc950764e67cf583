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

/** Takes typed fields out of one JSON object and notes every fault with its path. */
class ObjectReader
{
public:
    /**
     * @param object the value that should be an object
     * @param path where it stands in the document; empty for the document itself
     * @param faults gets the faults
     */
    ObjectReader(const nlohmann::json &object, std::string path, std::vector<Fault> &faults);

    /** @param field the field's name @return whether the object has it */
    bool has(const std::string &field) const;

    /** @return a name: letters, digits, '-', '_' and '.' */
    std::string name(const std::string &field);

    /** @return a number within the bounds */
    std::int64_t number(const std::string &field, std::int64_t least, std::int64_t most);

    /** @return a number with a fraction within the bounds */
    double fraction(const std::string &field, double least, double most);

    /** @return true or false */
    bool boolean(const std::string &field);

    /** @return a duration such as "5s" */
    base::Milliseconds duration(const std::string &field);

    /** @return the index of the field's text among the choices */
    std::size_t choice(const std::string &field, const std::vector<std::string> &choices);

    /** @return a list of names without doubles */
    std::vector<std::string> names(const std::string &field);

    /** Reads the object in a field. @param read is given a reader for it */
    void object(const std::string &field, const std::function<void(ObjectReader &)> &read);

    /** Reads a list of objects whose names differ. @param read is given a reader for each */
    void objects(const std::string &field, const std::function<void(ObjectReader &)> &read);

    /** Notes a fault of a field. @param field its name @param text what it must be */
    void fault(const std::string &field, const std::string &text);

    /** Notes the fields that were not asked for; call it last. */
    void finish();

private:
    const nlohmann::json *take(const std::string &field);
    std::string pathOf(const std::string &field) const;
    void wrongValue(const std::string &field, const std::string &expected, const nlohmann::json &value);

    const nlohmann::json &m_object;
    const std::string m_path;
    std::vector<Fault> &m_faults;
    std::set<std::string> m_known;
};

}
