#pragma once

#include <LibConfiguration/Fault.h>
#include <LibConfiguration/FieldCatalogue.h>
#include <LibConfiguration/Share.h>

#include <toml.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Configuration {

/// Reads the fields of one table as the field catalogue describes them. A field that is missing,
/// of the wrong type or out of range is added to the faults and read as an empty value, so that
/// one pass finds every fault. Unknown fields are reported on construction.
class TableReader
{
public:
    /// Keeps references to both the value and the faults.
    TableReader(const toml::value &value, std::string_view table, std::string path,
                std::vector<Fault> &faults);

    bool has(std::string_view name) const { return find(name) != nullptr; }
    bool boolean(std::string_view name) const;
    std::int64_t integer(std::string_view name) const;
    template <typename Number>
    Number number(std::string_view name) const
    {
        return static_cast<Number>(integer(name));
    }
    std::chrono::milliseconds milliseconds(std::string_view name) const;
    std::chrono::seconds seconds(std::string_view name) const;
    Share share(std::string_view name) const;
    std::string identifier(std::string_view name) const;
    std::vector<std::string> identifiers(std::string_view name) const;
    std::vector<std::string> hashes(std::string_view name) const;
    std::string choice(std::string_view name) const;
    std::string pathPrefix(std::string_view name) const;
    /// Returns a reader for each entry of a list of tables.
    std::vector<TableReader> tables(std::string_view name) const;

    /// Adds a fault at the position of the field, or of the table when the field is missing.
    void addFault(std::string_view name, std::string message) const;

private:
    const toml::value *find(std::string_view name) const;
    const toml::value *require(const FieldRow &row) const;
    const FieldRow &row(std::string_view name) const;
    std::string fieldPath(std::string_view name) const;
    void addFaultAt(const toml::value &value, std::string path, std::string message) const;
    void reportUnknownFields() const;
    std::vector<std::string> strings(std::string_view name, bool (*isValid)(std::string_view),
                                     std::string_view rule) const;

    const toml::value *m_value;
    std::string_view m_table;
    std::string m_path;
    std::vector<Fault> *m_faults;
};

} // namespace Configuration
