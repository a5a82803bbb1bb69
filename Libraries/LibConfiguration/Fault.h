#pragma once

#include <cstdint>
#include <span>
#include <string>

namespace Configuration {

/// One fault of a configuration document. Lines and columns count from 1, columns in bytes.
struct Fault
{
    std::uint32_t line = 0;
    std::uint32_t column = 0;
    /// The field, for example "team[2].key_hashes[0]"; empty for a syntax error.
    std::string path;
    std::string message;

    friend bool operator==(const Fault &, const Fault &) = default;
};

/// Formats the faults, one per line: "LINE:COLUMN: PATH: MESSAGE".
std::string describeFaults(std::span<const Fault> faults);

} // namespace Configuration
