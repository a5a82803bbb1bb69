#pragma once

#include <jujubectl/Settings.h>

#include <optional>

namespace Jujubectl {

/// The parsed command line: a command to run, or an exit code (after help, version or an error).
struct CommandLine
{
    std::optional<Settings> settings;
    int exitCode = 0;
};

/// Parses flags and environment variables. Prints help and errors itself.
CommandLine parseCommandLine(int argc, const char *const *argv);

} // namespace Jujubectl
