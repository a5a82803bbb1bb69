#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Configuration {

/// Describes a text as another text with its middle replaced, so that a small change of a large
/// document needs only a small record.
struct Splice
{
    std::uint32_t prefixBytes = 0;
    std::uint32_t suffixBytes = 0;
    std::string middle;

    /// Returns the splice that produces text from base.
    static Splice between(std::string_view base, std::string_view text);
    /// Returns the text, or nothing when the base is too short for this splice.
    std::optional<std::string> apply(std::string_view base) const;
};

} // namespace Configuration
