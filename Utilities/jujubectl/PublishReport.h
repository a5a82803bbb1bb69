#pragma once

#include <LibConfiguration/Publisher.h>

#include <jujubectl/Context.h>

namespace Jujubectl {

/// Prints the outcome of a publication and returns its exit code.
ExitCode reportOutcome(Context &context, const Configuration::PublishOutcome &outcome);

/// Returns the name to publish under: --publisher, or the environment variable USER.
std::string publisherName(const Settings &settings);

} // namespace Jujubectl
