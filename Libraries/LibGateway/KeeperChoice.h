#pragma once

#include <LibGateway/FleetMembers.h>
#include <LibGateway/UpstreamReport.h>

#include <functional>

namespace Gateway {

/// Returns the instance that keeps the state which all instances share of an upstream. It is found
/// by hashing among the members of the upstream's data centre, without agreement, and is this
/// instance if no other one is known. Members for which `isSkipped` returns true are passed over.
FleetMember chooseKeeper(const FleetMembers &members, const UpstreamReport &upstream,
                         const std::function<bool(const Core::InstanceId &)> &isSkipped);

} // namespace Gateway
