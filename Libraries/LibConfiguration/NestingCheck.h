#pragma once

#include <LibConfiguration/Fault.h>

#include <optional>
#include <string_view>

namespace Configuration {

/// Finds the place where a TOML text nests brackets or dotted keys deeper than any document needs.
/// The TOML parser recurses once a level, so this runs first to keep it from exhausting the stack.
std::optional<Fault> findDeepNesting(std::string_view text);

} // namespace Configuration
