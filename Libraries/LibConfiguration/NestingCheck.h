#pragma once

#include <LibConfiguration/Fault.h>

#include <optional>
#include <string_view>

namespace Configuration {

/// Finds the first position where a TOML text nests brackets or dotted keys deeper than any valid
/// document. The TOML parser recurses once per level, so this check runs first to prevent a stack
/// overflow.
std::optional<Fault> findDeepNesting(std::string_view text);

} // namespace Configuration
