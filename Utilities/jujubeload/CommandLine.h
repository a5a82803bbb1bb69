#pragma once

#include <LibCore/Result.h>

#include <jujubeload/Settings.h>

#include <optional>

namespace Load {

/// Reads flags and environment variables (JUJUBELOAD_...). Nothing when the program has only to
/// exit, as after --help. Fails with SettingsInvalid.
Core::Result<std::optional<Settings>> parseCommandLine(int argc, const char *const *argv);

} // namespace Load
