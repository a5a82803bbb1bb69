#include "Policy.h"

#include "BaselinePolicies.h"

#include <array>

namespace Bench {

std::unique_ptr<Policy> makePolicy(const std::string &name, const PolicyContext &context)
{
    return makeBaselinePolicy(name, context);
}

std::span<const std::string> comparedPolicies()
{
    static const std::array<std::string, 7> names {"random",     "round-robin", "least-loaded",
                                                   "hash-root",  "hash-prompt", "oracle",
                                                   "oracle-home"};
    return names;
}

std::span<const std::string> ablationPolicies()
{
    return {};
}

} // namespace Bench
