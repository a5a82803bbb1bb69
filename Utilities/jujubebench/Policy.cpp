#include "Policy.h"

#include "BaselinePolicies.h"
#include "PlacementPolicy.h"

#include <array>

namespace Bench {

std::unique_ptr<Policy> makePolicy(const std::string &name, const PolicyContext &context)
{
    if (auto ours = makePlacementPolicy(name, context))
        return ours;
    return makeBaselinePolicy(name, context);
}

std::span<const std::string> comparedPolicies()
{
    static const std::array<std::string, 8> names {"random",      "round-robin", "least-loaded",
                                                   "hash-root",   "hash-prompt", "oracle",
                                                   "oracle-home", "placement"};
    return names;
}

} // namespace Bench
