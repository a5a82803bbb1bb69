#pragma once

#include "Policy.h"

namespace Bench {

/// Makes one of the policies that ours is compared with: random, round-robin, least-loaded,
/// hash-root, hash-prompt, oracle, oracle-home. Null for another name.
std::unique_ptr<Policy> makeBaselinePolicy(const std::string &name, const PolicyContext &context);

} // namespace Bench
