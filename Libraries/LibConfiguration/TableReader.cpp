#include <LibConfiguration/TableReader.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

namespace Configuration {

namespace {

constexpr std::size_t MaxIdentifierLength = 64;
constexpr std::size_t MaxPathLength = 1'024;
constexpr std::size_t HashLength = 64;
constexpr std::string_view IdentifierRule =
    "must be 1 to 64 letters, digits, dots, dashes or underscores";
constexpr std::string_view HashRule = "must be 64 lower-case hexadecimal digits";

bool isIdentifier(std::string_view text)
{
    const auto allowed = [](char it) {
        return (it >= 'a' && it <= 'z') || (it >= 'A' && it <= 'Z') || (it >= '0' && it <= '9')
               || it == '.' || it == '-' || it == '_';
    };
    return !text.empty() && text.size() <= MaxIdentifierLength
           && std::all_of(text.begin(), text.end(), allowed);
}

bool isHash(std::string_view text)
{
    const auto allowed = [](char it) {
        return (it >= '0' && it <= '9') || (it >= 'a' && it <= 'f');
    };
    return text.size() == HashLength && std::all_of(text.begin(), text.end(), allowed);
}

bool isPathPrefix(std::string_view text)
{
    const auto plain = [](char it) {
        return it > ' ' && it < '\x7f' && it != '?' && it != '#' && it != '%' && it != '\\';
    };
    return text.starts_with('/') && text.size() <= MaxPathLength
           && text.find("//") == std::string_view::npos && text.find("/.") == std::string_view::npos
           && std::all_of(text.begin(), text.end(), plain);
}

bool containsWord(std::string_view words, std::string_view word)
{
    if (word.empty() || word.find(' ') != std::string_view::npos)
        return false;
    const std::string padded = ' ' + std::string(words) + ' ';
    return padded.find(' ' + std::string(word) + ' ') != std::string::npos;
}

std::int64_t defaultInteger(const FieldRow &row)
{
    std::int64_t value = 0;
    std::from_chars(row.defaultValue.data(), row.defaultValue.data() + row.defaultValue.size(),
                    value);
    return value;
}

double defaultNumber(const FieldRow &row)
{
    double value = 0;
    std::from_chars(row.defaultValue.data(), row.defaultValue.data() + row.defaultValue.size(),
                    value);
    return value;
}

Share toShare(double value)
{
    return Share::fromMillionths(static_cast<std::uint32_t>(std::lround(value * Share::Whole)));
}

} // namespace

TableReader::TableReader(const toml::value &value, std::string_view table, std::string path,
                         std::vector<Fault> &faults)
    : m_value(&value)
    , m_table(table)
    , m_path(std::move(path))
    , m_faults(&faults)
{
    if (!value.is_table()) {
        addFaultAt(value, m_path, "must be a table");
        return;
    }
    reportUnknownFields();
}

bool TableReader::boolean(std::string_view name) const
{
    const auto &field = row(name);
    const auto *value = require(field);
    if (!value)
        return field.defaultValue == "true";
    if (value->is_boolean())
        return value->as_boolean(std::nothrow);
    addFaultAt(*value, fieldPath(name), "must be true or false");
    return false;
}

std::int64_t TableReader::integer(std::string_view name) const
{
    const auto &field = row(name);
    const auto *value = require(field);
    if (!value)
        return defaultInteger(field);
    if (!value->is_integer()) {
        addFaultAt(*value, fieldPath(name), "must be an integer");
        return 0;
    }
    const std::int64_t number = value->as_integer(std::nothrow);
    if (number >= field.minimum && number <= field.maximum)
        return number;
    addFaultAt(*value, fieldPath(name),
               "must be from " + std::to_string(field.minimum) + " to "
                   + std::to_string(field.maximum));
    return 0;
}

std::chrono::milliseconds TableReader::milliseconds(std::string_view name) const
{
    return std::chrono::milliseconds(integer(name));
}

std::chrono::seconds TableReader::seconds(std::string_view name) const
{
    return std::chrono::seconds(integer(name));
}

Share TableReader::share(std::string_view name) const
{
    const auto &field = row(name);
    const auto *value = require(field);
    if (!value)
        return toShare(defaultNumber(field));
    double number = -1;
    if (value->is_floating())
        number = value->as_floating(std::nothrow);
    if (value->is_integer())
        number = static_cast<double>(value->as_integer(std::nothrow));
    if (number >= 0 && number <= 1)
        return toShare(number);
    addFaultAt(*value, fieldPath(name), "must be a number from 0 to 1");
    return {};
}

std::string TableReader::identifier(std::string_view name) const
{
    const auto *value = require(row(name));
    if (!value)
        return {};
    if (value->is_string() && isIdentifier(value->as_string(std::nothrow).str))
        return value->as_string(std::nothrow).str;
    addFaultAt(*value, fieldPath(name), std::string(IdentifierRule));
    return {};
}

std::vector<std::string> TableReader::identifiers(std::string_view name) const
{
    return strings(name, isIdentifier, IdentifierRule);
}

std::vector<std::string> TableReader::hashes(std::string_view name) const
{
    return strings(name, isHash, HashRule);
}

std::string TableReader::choice(std::string_view name) const
{
    const auto &field = row(name);
    const auto *value = require(field);
    if (!value)
        return std::string(field.defaultValue);
    if (value->is_string() && containsWord(field.choices, value->as_string(std::nothrow).str))
        return value->as_string(std::nothrow).str;
    addFaultAt(*value, fieldPath(name), "must be one of: " + std::string(field.choices));
    return {};
}

std::string TableReader::pathPrefix(std::string_view name) const
{
    const auto *value = require(row(name));
    if (!value)
        return {};
    if (value->is_string() && isPathPrefix(value->as_string(std::nothrow).str))
        return value->as_string(std::nothrow).str;
    addFaultAt(*value, fieldPath(name),
               "must start with a slash and have no empty or dotted segment, escape or query");
    return {};
}

std::vector<TableReader> TableReader::tables(std::string_view name) const
{
    const auto &field = row(name);
    const auto *value = require(field);
    if (!value)
        return {};
    if (!value->is_array()) {
        addFaultAt(*value, fieldPath(name), "must be a list of tables");
        return {};
    }
    const auto &entries = value->as_array(std::nothrow);
    const auto count = static_cast<long long>(entries.size());
    if (count < field.minimum || count > field.maximum)
        addFaultAt(*value, fieldPath(name),
                   "must have from " + std::to_string(field.minimum) + " to "
                       + std::to_string(field.maximum) + " entries");
    const std::string_view inner = m_table.empty() ? field.name : "service.route";
    std::vector<TableReader> readers;
    readers.reserve(entries.size());
    for (std::size_t n = 0; n < entries.size(); ++n)
        readers.emplace_back(entries[n], inner, fieldPath(name) + '[' + std::to_string(n) + ']',
                             *m_faults);
    return readers;
}

void TableReader::addFault(std::string_view name, std::string message) const
{
    const auto *value = find(name);
    addFaultAt(value ? *value : *m_value, fieldPath(name), std::move(message));
}

const toml::value *TableReader::find(std::string_view name) const
{
    if (!m_value->is_table())
        return nullptr;
    const auto &fields = m_value->as_table(std::nothrow);
    const auto found = fields.find(std::string(name));
    return found == fields.end() ? nullptr : &found->second;
}

const toml::value *TableReader::require(const FieldRow &row) const
{
    const auto *value = find(row.name);
    if (!value && row.defaultValue.empty() && m_value->is_table())
        addFaultAt(*m_value, fieldPath(row.name), "is missing");
    return value;
}

const FieldRow &TableReader::row(std::string_view name) const
{
    const auto *found = findField(m_table, name);
    if (!found)
        throw std::logic_error("the field catalogue has no " + fieldPath(name));
    return *found;
}

std::string TableReader::fieldPath(std::string_view name) const
{
    return m_path.empty() ? std::string(name) : m_path + '.' + std::string(name);
}

void TableReader::addFaultAt(const toml::value &value, std::string path, std::string message) const
{
    const auto location = value.location();
    m_faults->push_back({location.line(), location.column(), std::move(path), std::move(message)});
}

void TableReader::reportUnknownFields() const
{
    for (const auto &[name, value] : m_value->as_table(std::nothrow)) {
        if (!findField(m_table, name))
            addFaultAt(value, fieldPath(name), "is not a known field");
    }
}

std::vector<std::string> TableReader::strings(std::string_view name,
                                              bool (*isValid)(std::string_view),
                                              std::string_view rule) const
{
    const auto &field = row(name);
    const auto *value = require(field);
    if (!value)
        return {};
    if (!value->is_array()) {
        addFaultAt(*value, fieldPath(name), "must be a list");
        return {};
    }
    const auto &entries = value->as_array(std::nothrow);
    const auto count = static_cast<long long>(entries.size());
    if (count < field.minimum || count > field.maximum)
        addFaultAt(*value, fieldPath(name),
                   "must have from " + std::to_string(field.minimum) + " to "
                       + std::to_string(field.maximum) + " entries");
    std::vector<std::string> texts;
    for (std::size_t n = 0; n < entries.size(); ++n) {
        const auto &entry = entries[n];
        if (entry.is_string() && isValid(entry.as_string(std::nothrow).str))
            texts.push_back(entry.as_string(std::nothrow).str);
        else
            addFaultAt(entry, fieldPath(name) + '[' + std::to_string(n) + ']', std::string(rule));
    }
    return texts;
}

} // namespace Configuration
