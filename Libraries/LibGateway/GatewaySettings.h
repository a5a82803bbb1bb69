#pragma once

#include <LibCore/Identifier.h>
#include <LibGateway/RetryBudgetShare.h>
#include <LibHttp/Endpoint.h>

#include <chrono>
#include <cstdint>
#include <string>

namespace Gateway {

/// What one instance is told at its start.
struct GatewaySettings
{
    Core::InstanceId instance;
    std::string dataCentre;
    /// Where callers connect.
    Http::Endpoint callers;
    /// Where the balancer asks whether new callers may come, and operators read metrics.
    Http::Endpoint readiness;
    /// Where siblings' datagrams arrive.
    Http::Endpoint siblings;
    /// The speed of the instance's own network link; 0 when it was not told.
    unsigned linkMegabits = 0;
    /// A key that operators took away may run for this long afterwards.
    std::chrono::milliseconds revocationBound {5'000};
    /// A new configuration is in force everywhere within this time.
    std::chrono::milliseconds configurationBound {2'000};
    /// Nothing goes to a leaving upstream later than this after it said so.
    std::chrono::milliseconds drainBound {2'000};
    /// Requests begin on new weights within this time of their naming.
    std::chrono::milliseconds weightsBound {6'000};
    /// Two holders of orders follow each other at this distance at least.
    std::chrono::milliseconds leaseTime {3'000};
    /// A process that was told to end is killed after this time.
    std::chrono::milliseconds grace {8'000};
    /// Upstreams report this often.
    std::chrono::milliseconds reportInterval {1'200};
    /// The store keeps the records of the fleet's journal for this long.
    std::chrono::milliseconds journalRetention {300'000};
    RetryBudgetLimits retries;
};

} // namespace Gateway
