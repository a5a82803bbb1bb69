#pragma once

#include <LibCore/Identifier.h>

#include <cstddef>
#include <span>
#include <vector>

namespace Claims {

/// Selects the instances that append the claims of one partition: the `count` highest-ranked live
/// instances by rendezvous hashing. Any selection is safe, because the log decides the order of
/// claims; instances that see a different live set only spread the appends over a few more writers.
std::vector<Core::InstanceId> selectClaimWriters(std::size_t partition,
                                                 std::span<const Core::InstanceId> live,
                                                 std::size_t count);

} // namespace Claims
