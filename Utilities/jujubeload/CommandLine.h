#pragma once

#include <LibCore/Result.h>

#include <jujubeload/Settings.h>

#include <optional>

namespace Load {

/// Parses flags and environment variables (JUJUBELOAD_...). Returns nothing if the program only has
/// to exit, for example after --help. Throws SettingsInvalid.
Core::Result<std::optional<Settings>> parseCommandLine(int argc, const char *const *argv);

} // namespace Load
