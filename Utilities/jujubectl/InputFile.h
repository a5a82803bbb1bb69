#pragma once

#include <string>

namespace Jujubectl {

/// The bytes of a file, or of standard input for "-". Throws Error(SettingsInvalid) when it cannot
/// be read.
std::string readInput(const std::string &path);

} // namespace Jujubectl
