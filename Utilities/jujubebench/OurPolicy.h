#pragma once

#include "Policy.h"

namespace Bench {

/// Our placement, or with one part switched off. Null for a name that is none of ours.
std::unique_ptr<Policy> makeOurPolicy(const std::string &name, const PolicyContext &context);

} // namespace Bench
