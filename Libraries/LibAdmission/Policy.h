#pragma once

#include <LibCore/Identifier.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace Admission {

/// How one class of work is treated in a group.
struct ClassPolicy
{
    Core::PriorityClassId id;
    /// Part of the group's slots, 0 to 1, that the class keeps while more urgent work floods in.
    double floorShare = 0;
    /// Requests of the class that may wait at one instance.
    std::size_t queueLimit = 256;
    /// Whether running work of the class may be cancelled for more urgent or entitled work.
    bool preemptible = false;
};

/// What one team may use of a group.
struct TeamPolicy
{
    Core::TeamId id;
    /// Relative weight when slots are shared out.
    double weight = 1;
    /// Part of the group's slots, 0 to 1, that the team pays for.
    double ownedShare = 0;
    /// Whether the team may use idle slots beyond its own.
    bool mayBorrow = true;
};

/// The rules of one upstream group.
struct GroupPolicy
{
    Core::UpstreamGroupId id;
    /// The most urgent class first.
    std::vector<ClassPolicy> classes;
    std::vector<TeamPolicy> teams;
    /// Requests that the group's live upstreams run at once.
    std::uint32_t slots = 0;
};

/// What a team may ask of the whole fleet, over all groups; 0 for no limit.
struct TeamLimitPolicy
{
    Core::TeamId team;
    std::uint32_t requestsPerSecond = 0;
    /// Requests that run or wait at once.
    std::uint32_t concurrentRequests = 0;
};

/// All rules, as the configuration in force gives them.
struct Policy
{
    std::vector<GroupPolicy> groups;
    std::vector<TeamLimitPolicy> limits;
};

} // namespace Admission
