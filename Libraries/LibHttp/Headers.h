#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Http {

/// Header fields in their order. Names compare without regard to case.
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

    /// The first field of that name, or nothing.
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

/// The fields without those that concern one connection only.
Headers withoutConnectionFields(const Headers &headers);

/// Whether two header names or tokens are equal without regard to ASCII case.
bool equalIgnoringCase(std::string_view left, std::string_view right);

} // namespace Http
