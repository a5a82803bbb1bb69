#pragma once

#include <cstdint>
#include <string>

namespace Gateway {

/// Returns the digest that identifies a request over its attempts: equal for equal path, tenant and
/// body.
std::uint64_t requestDigest(const std::string &target, const std::string &tenant,
                            const std::string &body);

} // namespace Gateway
