#pragma once

#include "Policy.h"

namespace Bench {

/// Creates one of the baseline policies: random, round-robin, least-loaded, hash-root, hash-prompt,
/// oracle, oracle-home. Returns null for any other name.
std::unique_ptr<Policy> makeBaselinePolicy(const std::string &name, const PolicyContext &context);

} // namespace Bench
