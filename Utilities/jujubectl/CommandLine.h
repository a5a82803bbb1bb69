#pragma once

#include <jujubectl/Settings.h>

#include <optional>

namespace Jujubectl {

/// What the command line asks for: a command, or an end at once (help, version, a fault).
struct CommandLine
{
    std::optional<Settings> settings;
    int exitCode = 0;
};

/// Reads flags and environment variables. Prints help and faults itself.
CommandLine parseCommandLine(int argc, const char *const *argv);

} // namespace Jujubectl
