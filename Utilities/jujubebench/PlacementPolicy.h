#pragma once

#include "Policy.h"

namespace Bench {

/// Creates the policy that uses LibPlacement, or a variant of it with one part disabled. Returns
/// null for any other name.
std::unique_ptr<Policy> makePlacementPolicy(const std::string &name, const PolicyContext &context);

} // namespace Bench
