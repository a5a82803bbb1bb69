#pragma once

#include <LibCore/Identifier.h>

#include <cstddef>
#include <span>
#include <vector>

namespace Claims {

/// The instances that append the claims of one partition: those that rank highest by rendezvous
/// hashing over the live set. Any choice is safe, because the log decides; instances that see
/// another live set only spread the appends over a few writers more. Count bounds the result.
std::vector<Core::InstanceId> selectClaimWriters(std::size_t partition,
                                                 std::span<const Core::InstanceId> live,
                                                 std::size_t count);

} // namespace Claims
