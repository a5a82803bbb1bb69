#pragma once

#include <LibConfiguration/Share.h>
#include <LibCore/Identifier.h>

#include <chrono>
#include <cstdint>

namespace Configuration {

/// A priority class of requests with its latency target and weight.
struct PriorityClass
{
    Core::PriorityClassId id;
    /// 0 is the most urgent rank. Ranks are unique.
    std::uint32_t rank = 0;
    /// The time within which the first token should reach the caller.
    std::chrono::milliseconds targetFirstToken {0};
    /// The value of an answer within the target, relative to the other classes.
    std::uint32_t worth = 1;
    /// The share of a group's slots that classes with a lower rank number cannot use.
    Share floorShare;
    /// How many requests of the class may wait before one upstream group, per instance.
    std::uint32_t queueRequests = 0;
    /// How long a request of the class may wait.
    std::chrono::milliseconds queueTimeout {0};
};

} // namespace Configuration
