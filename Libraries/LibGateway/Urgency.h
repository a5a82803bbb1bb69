#pragma once

#include <LibGateway/GatewayConfiguration.h>

namespace Gateway {

/// Returns the urgency level to send to engines, from 0 (most urgent) to 9. A team's priority
/// overrides that of the route. Within a priority, requests that can still meet their target
/// precede late ones, and routes of higher priority precede the others. The team may be null.
int urgencyLevel(const Route &route, const Tenant *tenant, bool isLate);

/// Returns whether the request precedes others when engines are overloaded.
bool isUrgent(const Route &route, const Tenant *tenant);

} // namespace Gateway
