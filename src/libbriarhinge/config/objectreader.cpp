#include "config/objectreader.h"

#include "config/duration.h"

#include <algorithm>

#include <fmt/format.h>

namespace briarhinge::config
{

namespace
{

using nlohmann::json;

constexpr std::size_t maxNameBytes = 200;
constexpr std::size_t maxFormattedBytes = 80;

/** Formats a value for an error message, truncated so that the message fits on a line. */
std::string formatValue(const json &value)
{
    std::string text = value.dump(-1, ' ', true, json::error_handler_t::replace);
    if (text.size() > maxFormattedBytes) {
        text.resize(maxFormattedBytes);
        text += "...";
    }
    return text;
}

bool isValidName(const std::string &text)
{
    constexpr std::string_view punctuation = "-_.";
    return !text.empty() && text.size() <= maxNameBytes && std::all_of(text.begin(), text.end(), [&](unsigned char c) {
        return std::isalnum(c) != 0 || punctuation.find(static_cast<char>(c)) != std::string_view::npos;
    });
}

}

ObjectReader::ObjectReader(const json &object, std::string path, std::vector<ValidationError> &errors)
    : m_object(object)
    , m_path(std::move(path))
    , m_errors(errors)
{
    if (!m_object.is_object()) {
        m_errors.push_back({m_path, "must be an object, is " + formatValue(m_object)});
    }
}

bool ObjectReader::has(const std::string &field) const
{
    return m_object.is_object() && m_object.contains(field);
}

std::string ObjectReader::name(const std::string &field)
{
    const json *value = requireField(field);
    if (value == nullptr) {
        return {};
    }
    if (!value->is_string() || !isValidName(value->get<std::string>())) {
        addInvalidValue(field, "a name of letters, digits, \"-\", \"_\" and \".\"", *value);
        return {};
    }
    return value->get<std::string>();
}

std::int64_t ObjectReader::number(const std::string &field, std::int64_t minimum, std::int64_t maximum)
{
    const json *value = requireField(field);
    if (value == nullptr) {
        return minimum;
    }
    // An unsigned number beyond the signed range would be converted to a negative one.
    const bool isTooLarge =
        value->is_number_unsigned() && value->get<std::uint64_t>() > static_cast<std::uint64_t>(maximum);
    if (!value->is_number_integer() || isTooLarge || value->get<std::int64_t>() < minimum) {
        addInvalidValue(field, fmt::format("a whole number from {} to {}", minimum, maximum), *value);
        return minimum;
    }
    return value->get<std::int64_t>();
}

double ObjectReader::fraction(const std::string &field, double minimum, double maximum)
{
    const json *value = requireField(field);
    if (value == nullptr) {
        return minimum;
    }
    if (!value->is_number() || value->get<double>() < minimum || value->get<double>() > maximum) {
        addInvalidValue(field, fmt::format("a number from {} to {}", minimum, maximum), *value);
        return minimum;
    }
    return value->get<double>();
}

bool ObjectReader::boolean(const std::string &field)
{
    const json *value = requireField(field);
    if (value == nullptr) {
        return false;
    }
    if (!value->is_boolean()) {
        addInvalidValue(field, "true or false", *value);
        return false;
    }
    return value->get<bool>();
}

base::Milliseconds ObjectReader::duration(const std::string &field)
{
    const json *value = requireField(field);
    if (value == nullptr) {
        return {};
    }
    const auto parsed = value->is_string() ? parseDuration(value->get<std::string>()) : std::nullopt;
    if (!parsed) {
        addInvalidValue(field, "a duration such as \"5s\"", *value);
    }
    return parsed.value_or(base::Milliseconds(0));
}

std::size_t ObjectReader::choice(const std::string &field, const std::vector<std::string> &choices)
{
    const json *value = requireField(field);
    if (value == nullptr) {
        return 0;
    }
    const auto found =
        value->is_string() ? std::find(choices.begin(), choices.end(), value->get<std::string>()) : choices.end();
    if (found == choices.end()) {
        addInvalidValue(field, fmt::format("\"{}\"", fmt::join(choices, "\" or \"")), *value);
        return 0;
    }
    return static_cast<std::size_t>(found - choices.begin());
}

std::vector<std::string> ObjectReader::names(const std::string &field)
{
    std::vector<std::string> list;
    const json *value = requireField(field);
    if (value == nullptr) {
        return list;
    }
    if (!value->is_array()) {
        addInvalidValue(field, "a list of names", *value);
        return list;
    }
    for (std::size_t i = 0; i < value->size(); ++i) {
        const json &item = (*value)[i];
        const std::string itemField = fmt::format("{}[{}]", field, i);
        if (!item.is_string() || !isValidName(item.get<std::string>())) {
            addInvalidValue(itemField, "a name of letters, digits, \"-\", \"_\" and \".\"", item);
        } else if (std::find(list.begin(), list.end(), item.get<std::string>()) != list.end()) {
            addError(itemField, fmt::format("must differ from the others, is {} again", formatValue(item)));
        } else {
            list.push_back(item.get<std::string>());
        }
    }
    return list;
}

void ObjectReader::readObject(const std::string &field, const std::function<void(ObjectReader &)> &read)
{
    const json *value = requireField(field);
    if (value == nullptr) {
        return;
    }
    ObjectReader reader(*value, fieldPath(field), m_errors);
    if (value->is_object()) {
        read(reader);
        reader.rejectUnknownFields();
    }
}

void ObjectReader::readObjects(const std::string &field, const std::function<void(ObjectReader &)> &read)
{
    const json *value = requireField(field);
    if (value == nullptr) {
        return;
    }
    if (!value->is_array()) {
        addInvalidValue(field, "a list", *value);
        return;
    }
    std::set<std::string> seenNames;
    for (std::size_t i = 0; i < value->size(); ++i) {
        const json &item = (*value)[i];
        ObjectReader reader(item, fmt::format("{}[{}]", fieldPath(field), i), m_errors);
        if (!item.is_object()) {
            continue;
        }
        read(reader);
        reader.rejectUnknownFields();
        if (item.contains("name") && item["name"].is_string() && !seenNames.insert(item["name"]).second) {
            reader.addError("name", fmt::format("must differ from the others, is {} again", formatValue(item["name"])));
        }
    }
}

void ObjectReader::addError(const std::string &field, const std::string &text)
{
    m_errors.push_back({fieldPath(field), text});
}

void ObjectReader::rejectUnknownFields()
{
    for (const auto &[field, value] : m_object.items()) {
        if (!m_readFields.contains(field)) {
            addError(field, "is not a field of the declaration");
        }
    }
}

const json *ObjectReader::requireField(const std::string &field)
{
    m_readFields.insert(field);
    if (!has(field)) {
        if (m_object.is_object()) {
            addError(field, "must be given");
        }
        return nullptr;
    }
    return &m_object.at(field);
}

std::string ObjectReader::fieldPath(const std::string &field) const
{
    return m_path.empty() ? field : m_path + "." + field;
}

void ObjectReader::addInvalidValue(const std::string &field, const std::string &expected, const json &value)
{
    addError(field, fmt::format("must be {}, is {}", expected, formatValue(value)));
}

}
