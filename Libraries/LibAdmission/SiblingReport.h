#pragma once

#include <LibAdmission/FairShare.h>
#include <LibAdmission/LeasedShare.h>
#include <LibCore/Identifier.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace Admission {

/// One shared quantity as a report to one sibling carries it.
struct ShareReport
{
    /// What the sender gives the receiver to use.
    std::optional<Lease> lease;
    /// The sender has let go of the receiver's leases below this number.
    std::uint64_t acknowledged = 0;
};

/// A group's part of a report.
struct GroupReport
{
    Core::UpstreamGroupId group;
    /// The sender's largest demands.
    std::vector<TeamDemand> demands;
    ShareReport slots;
};

/// A limited team's part of a report.
struct TeamLimitReport
{
    Core::TeamId team;
    /// Requests a second that the sender's callers asked for, refused ones included.
    double rateDemand = 0;
    /// Requests that ran or waited at the sender, or would have.
    double concurrencyDemand = 0;
    ShareReport rate;
    ShareReport concurrency;
};

/// What one instance tells one sibling, several times a second. Later reports replace earlier ones.
struct SiblingReport
{
    Core::InstanceId from;
    std::uint64_t incarnation = 0;
    /// The receiver's incarnation that the leases answer; 0 while none was heard.
    std::uint64_t receiverIncarnation = 0;
    /// Grows by report to this receiver.
    std::uint64_t sequence = 0;
    std::vector<GroupReport> groups;
    std::vector<TeamLimitReport> limits;
};

} // namespace Admission
