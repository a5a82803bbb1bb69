#pragma once

#include <LibConfiguration/Share.h>
#include <LibCore/Identifier.h>

#include <chrono>
#include <cstdint>

namespace Configuration {

/// A rank of work with its target and worth.
struct PriorityClass
{
    Core::PriorityClassId id;
    /// 0 goes first. No two classes have the same rank.
    std::uint32_t rank = 0;
    /// The time within which the first token should reach the caller.
    std::chrono::milliseconds targetFirstToken {0};
    /// What one answer within the target is worth against the other classes.
    std::uint32_t worth = 1;
    /// The share of a group's slots that the classes of lower rank number cannot take.
    Share floorShare;
    /// How many requests of the class may wait before one upstream group, per instance.
    std::uint32_t queueRequests = 0;
    /// How long a request of the class may wait.
    std::chrono::milliseconds queueTimeout {0};
};

} // namespace Configuration
