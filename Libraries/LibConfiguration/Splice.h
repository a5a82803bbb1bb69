#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Configuration {

/// A text as another one with its middle replaced, so that a small change of a large document
/// costs a small record.
struct Splice
{
    std::uint32_t prefixBytes = 0;
    std::uint32_t suffixBytes = 0;
    std::string middle;

    /// The splice that makes text out of base.
    static Splice between(std::string_view base, std::string_view text);
    /// The text, or nothing when the base is too short for this splice.
    std::optional<std::string> apply(std::string_view base) const;
};

} // namespace Configuration
