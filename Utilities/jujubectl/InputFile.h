#pragma once

#include <string>

namespace Jujubectl {

/// Returns the contents of a file, or of standard input for "-". Throws Error(SettingsInvalid) if
/// it cannot be read.
std::string readInput(const std::string &path);

} // namespace Jujubectl
