#pragma once

#include <LibCore/Identifier.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace Admission {

/// The scheduling rules of one priority class in a group.
struct ClassPolicy
{
    Core::PriorityClassId id;
    /// The fraction of the group's slots, 0 to 1, that is guaranteed to the class even when more
    /// urgent classes have enough requests to fill the group.
    double floorShare = 0;
    /// The maximum number of requests of the class that may wait at one instance.
    std::size_t queueLimit = 256;
    /// Whether running requests of the class may be cancelled in favour of requests that are more
    /// urgent or whose team is below its own capacity.
    bool preemptible = false;
};

/// How much of a group one team may use.
struct TeamPolicy
{
    Core::TeamId id;
    /// Relative weight of the team when slots are divided among teams.
    double weight = 1;
    /// The fraction of the group's slots, 0 to 1, that the team pays for (its own capacity).
    double ownedShare = 0;
    /// Whether the team may borrow idle slots beyond its own capacity.
    bool mayBorrow = true;
};

/// The admission rules of one upstream group.
struct GroupPolicy
{
    Core::UpstreamGroupId id;
    /// Ordered by urgency, the most urgent class first.
    std::vector<ClassPolicy> classes;
    std::vector<TeamPolicy> teams;
    /// The number of requests that the group's live upstreams can run concurrently.
    std::uint32_t slots = 0;
};

/// The limits of a team over all instances and groups. A limit of 0 means unlimited.
struct TeamLimitPolicy
{
    Core::TeamId team;
    std::uint32_t requestsPerSecond = 0;
    /// The maximum number of requests that run or wait at the same time.
    std::uint32_t concurrentRequests = 0;
};

/// All admission rules of the active configuration.
struct Policy
{
    std::vector<GroupPolicy> groups;
    std::vector<TeamLimitPolicy> limits;
};

} // namespace Admission
