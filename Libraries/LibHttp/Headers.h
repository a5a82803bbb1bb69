#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Http {

/// Header fields in order. Names are case-insensitive.
class Headers
{
public:
    struct Field
    {
        std::string name;
        std::string value;
    };

    Headers() = default;
    Headers(std::initializer_list<Field> fields)
        : m_fields(fields)
    { }

    /// Returns the value of the first field of that name, or nothing.
    std::optional<std::string_view> find(std::string_view name) const;
    /// Adds a field after those of the same name.
    void add(std::string_view name, std::string_view value);
    /// Removes all fields of that name.
    void remove(std::string_view name);

    auto begin() const { return m_fields.begin(); }
    auto end() const { return m_fields.end(); }

private:
    std::vector<Field> m_fields;
};

/// Returns the fields without the hop-by-hop ones.
Headers withoutConnectionFields(const Headers &headers);

/// Returns whether two header names or tokens are equal, ignoring ASCII case.
bool equalIgnoringCase(std::string_view left, std::string_view right);

} // namespace Http
