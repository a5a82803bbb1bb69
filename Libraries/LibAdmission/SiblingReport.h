#pragma once

#include <LibAdmission/FairShare.h>
#include <LibAdmission/LeasedShare.h>
#include <LibCore/Identifier.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace Admission {

/// The part of a report to one sibling that concerns one shared quantity.
struct ShareReport
{
    /// The amount that the sender lends to the receiver.
    std::optional<Lease> lease;
    /// The sender no longer uses any of the receiver's leases with a number below this one.
    std::uint64_t acknowledged = 0;
};

/// The part of a report that concerns one upstream group.
struct GroupReport
{
    Core::UpstreamGroupId group;
    /// The largest demands at the sender.
    std::vector<TeamDemand> demands;
    ShareReport slots;
};

/// The part of a report that concerns one team with limits.
struct TeamLimitReport
{
    Core::TeamId team;
    /// Requests per second received by the sender, including refused ones.
    double rateDemand = 0;
    /// Concurrent requests at the sender, running or waiting, including refused ones.
    double concurrencyDemand = 0;
    ShareReport rate;
    ShareReport concurrency;
};

/// A report from one instance to one sibling, sent several times per second. Each report replaces
/// the earlier ones.
struct SiblingReport
{
    Core::InstanceId from;
    std::uint64_t incarnation = 0;
    /// The incarnation of the receiver that the leases and acknowledgements are meant for; 0 if the
    /// sender has not received a report from it yet.
    std::uint64_t receiverIncarnation = 0;
    /// Incremented with each report to this receiver.
    std::uint64_t sequence = 0;
    std::vector<GroupReport> groups;
    std::vector<TeamLimitReport> limits;
};

} // namespace Admission
