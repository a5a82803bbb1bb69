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

/// One field of the configuration document. The parser takes ranges, choices and defaults from
/// here, and docs/CONFIGURATION.md is held against it.
struct FieldRow
{
    /// The table that holds the field; empty for the document itself.
    std::string_view table;
    std::string_view name;
    FieldType type;
    std::string_view unit;
    /// The value of an absent field as the document would write it; empty for a required field.
    std::string_view defaultValue;
    /// The range of an integer; the allowed number of entries of a list.
    long long minimum;
    long long maximum;
    /// The words a choice allows, separated by spaces.
    std::string_view choices;
    std::string_view meaning;
};

/// Every field, table by table.
std::span<const FieldRow> fieldCatalogue();

/// The row of one field, or null.
const FieldRow *findField(std::string_view table, std::string_view name);

/// The name of a type as docs/CONFIGURATION.md writes it.
std::string_view fieldTypeName(FieldType type);

} // namespace Configuration
