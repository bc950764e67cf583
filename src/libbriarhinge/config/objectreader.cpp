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
constexpr std::size_t maxShownBytes = 80;

/** Formats a value for an error message, truncated so that the message fits on a line. */
std::string shown(const json &value)
{
    std::string text = value.dump(-1, ' ', true, json::error_handler_t::replace);
    if (text.size() > maxShownBytes) {
        text.resize(maxShownBytes);
        text += "...";
    }
    return text;
}

bool isName(const std::string &text)
{
    constexpr std::string_view others = "-_.";
    return !text.empty() && text.size() <= maxNameBytes && std::all_of(text.begin(), text.end(), [&](unsigned char c) {
        return std::isalnum(c) != 0 || others.find(static_cast<char>(c)) != std::string_view::npos;
    });
}

}

ObjectReader::ObjectReader(const json &object, std::string path, std::vector<Fault> &faults)
    : m_object(object)
    , m_path(std::move(path))
    , m_faults(faults)
{
    if (!m_object.is_object()) {
        m_faults.push_back({m_path, "must be an object, is " + shown(m_object)});
    }
}

bool ObjectReader::has(const std::string &field) const
{
    return m_object.is_object() && m_object.contains(field);
}

std::string ObjectReader::name(const std::string &field)
{
    const json *value = take(field);
    if (value == nullptr) {
        return {};
    }
    if (!value->is_string() || !isName(value->get<std::string>())) {
        wrongValue(field, "a name of letters, digits, \"-\", \"_\" and \".\"", *value);
        return {};
    }
    return value->get<std::string>();
}

std::int64_t ObjectReader::number(const std::string &field, std::int64_t least, std::int64_t most)
{
    const json *value = take(field);
    if (value == nullptr) {
        return least;
    }
    // An unsigned number beyond the signed range would be converted to a negative one.
    const bool isTooLarge =
        value->is_number_unsigned() && value->get<std::uint64_t>() > static_cast<std::uint64_t>(most);
    if (!value->is_number_integer() || isTooLarge || value->get<std::int64_t>() < least) {
        wrongValue(field, fmt::format("a whole number from {} to {}", least, most), *value);
        return least;
    }
    return value->get<std::int64_t>();
}

double ObjectReader::fraction(const std::string &field, double least, double most)
{
    const json *value = take(field);
    if (value == nullptr) {
        return least;
    }
    if (!value->is_number() || value->get<double>() < least || value->get<double>() > most) {
        wrongValue(field, fmt::format("a number from {} to {}", least, most), *value);
        return least;
    }
    return value->get<double>();
}

bool ObjectReader::boolean(const std::string &field)
{
    const json *value = take(field);
    if (value == nullptr) {
        return false;
    }
    if (!value->is_boolean()) {
        wrongValue(field, "true or false", *value);
        return false;
    }
    return value->get<bool>();
}

base::Milliseconds ObjectReader::duration(const std::string &field)
{
    const json *value = take(field);
    if (value == nullptr) {
        return {};
    }
    const auto parsed = value->is_string() ? parseDuration(value->get<std::string>()) : std::nullopt;
    if (!parsed) {
        wrongValue(field, "a duration such as \"5s\"", *value);
    }
    return parsed.value_or(base::Milliseconds(0));
}

std::size_t ObjectReader::choice(const std::string &field, const std::vector<std::string> &choices)
{
    const json *value = take(field);
    if (value == nullptr) {
        return 0;
    }
    const auto found =
        value->is_string() ? std::find(choices.begin(), choices.end(), value->get<std::string>()) : choices.end();
    if (found == choices.end()) {
        wrongValue(field, fmt::format("\"{}\"", fmt::join(choices, "\" or \"")), *value);
        return 0;
    }
    return static_cast<std::size_t>(found - choices.begin());
}

std::vector<std::string> ObjectReader::names(const std::string &field)
{
    std::vector<std::string> list;
    const json *value = take(field);
    if (value == nullptr) {
        return list;
    }
    if (!value->is_array()) {
        wrongValue(field, "a list of names", *value);
        return list;
    }
    for (std::size_t i = 0; i < value->size(); ++i) {
        const json &item = (*value)[i];
        const std::string place = fmt::format("{}[{}]", field, i);
        if (!item.is_string() || !isName(item.get<std::string>())) {
            wrongValue(place, "a name of letters, digits, \"-\", \"_\" and \".\"", item);
        } else if (std::find(list.begin(), list.end(), item.get<std::string>()) != list.end()) {
            fault(place, fmt::format("must differ from the others, is {} again", shown(item)));
        } else {
            list.push_back(item.get<std::string>());
        }
    }
    return list;
}

void ObjectReader::object(const std::string &field, const std::function<void(ObjectReader &)> &read)
{
    const json *value = take(field);
    if (value == nullptr) {
        return;
    }
    ObjectReader reader(*value, pathOf(field), m_faults);
    if (value->is_object()) {
        read(reader);
        reader.finish();
    }
}

void ObjectReader::objects(const std::string &field, const std::function<void(ObjectReader &)> &read)
{
    const json *value = take(field);
    if (value == nullptr) {
        return;
    }
    if (!value->is_array()) {
        wrongValue(field, "a list", *value);
        return;
    }
    std::set<std::string> seen;
    for (std::size_t i = 0; i < value->size(); ++i) {
        const json &item = (*value)[i];
        ObjectReader reader(item, fmt::format("{}[{}]", pathOf(field), i), m_faults);
        if (!item.is_object()) {
            continue;
        }
        read(reader);
        reader.finish();
        if (item.contains("name") && item["name"].is_string() && !seen.insert(item["name"]).second) {
            reader.fault("name", fmt::format("must differ from the others, is {} again", shown(item["name"])));
        }
    }
}

void ObjectReader::fault(const std::string &field, const std::string &text)
{
    m_faults.push_back({pathOf(field), text});
}

void ObjectReader::finish()
{
    for (const auto &[field, value] : m_object.items()) {
        if (!m_known.contains(field)) {
            fault(field, "is not a field of the declaration");
        }
    }
}

const json *ObjectReader::take(const std::string &field)
{
    m_known.insert(field);
    if (!has(field)) {
        if (m_object.is_object()) {
            fault(field, "must be given");
        }
        return nullptr;
    }
    return &m_object.at(field);
}

std::string ObjectReader::pathOf(const std::string &field) const
{
    return m_path.empty() ? field : m_path + "." + field;
}

void ObjectReader::wrongValue(const std::string &field, const std::string &expected, const json &value)
{
    fault(field, fmt::format("must be {}, is {}", expected, shown(value)));
}

}
