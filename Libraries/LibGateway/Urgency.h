#pragma once

#include <LibGateway/GatewayConfiguration.h>

namespace Gateway {

/// The level that engines are told for a request, from 0 (first) to 9. A team's priority takes
/// precedence over its route's; of one priority, what can still be in time goes first, and then
/// what its route ranks first. The team may be null.
int urgencyLevel(const Route &route, const Tenant *tenant, bool isLate);

/// Whether the request belongs to those that are served before others when engines are short.
bool isUrgent(const Route &route, const Tenant *tenant);

} // namespace Gateway
