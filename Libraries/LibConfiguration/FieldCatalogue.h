#pragma once

#include <span>
#include <string_view>

namespace Configuration {

enum class FieldType {
    Boolean,
    Choice,
    HashList,
    Identifier,
    IdentifierList,
    Integer,
    PathPrefix,
    Share,
    Table,
    TableList,
};

/// One field of the configuration document. The parser uses the ranges, choices and defaults, and a
/// test compares docs/CONFIGURATION.md with them.
struct FieldRow
{
    /// The table that holds the field; empty for the document itself.
    std::string_view table;
    std::string_view name;
    FieldType type;
    std::string_view unit;
    /// The default value as written in a document; empty for a required field.
    std::string_view defaultValue;
    /// The range of an integer; the allowed number of entries of a list.
    long long minimum;
    long long maximum;
    /// The allowed values of a choice, separated by spaces.
    std::string_view choices;
    std::string_view meaning;
};

/// Returns all fields, grouped by table.
std::span<const FieldRow> fieldCatalogue();

/// Returns the row of a field, or null.
const FieldRow *findField(std::string_view table, std::string_view name);

/// Returns the name of a type as used in docs/CONFIGURATION.md.
std::string_view fieldTypeName(FieldType type);

} // namespace Configuration
