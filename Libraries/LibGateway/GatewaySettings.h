#pragma once

#include <LibCore/Identifier.h>
#include <LibGateway/RetryBudgetShare.h>
#include <LibHttp/Endpoint.h>

#include <chrono>
#include <cstdint>
#include <string>

namespace Gateway {

/// The start-up settings of an instance.
struct GatewaySettings
{
    Core::InstanceId instance;
    std::string dataCentre;
    /// The address where callers connect.
    Http::Endpoint callers;
    /// The address where the balancer checks readiness and operators read metrics.
    Http::Endpoint readiness;
    /// The address for datagrams and calls of siblings.
    Http::Endpoint siblings;
    /// The speed of the instance's network link; 0 if unknown.
    unsigned linkMegabits = 0;
    /// The time within which a revoked key stops working.
    std::chrono::milliseconds revocationBound {5'000};
    /// The time within which a new configuration takes effect at all instances.
    std::chrono::milliseconds configurationBound {2'000};
    /// The time after which no requests are sent to an upstream that has reported draining.
    std::chrono::milliseconds drainBound {2'000};
    /// The time within which requests start on new target weights.
    std::chrono::milliseconds weightsBound {6'000};
    /// The minimum interval between two different holders of the order lease.
    std::chrono::milliseconds leaseTime {3'000};
    /// The time after SIGTERM at which the process is killed.
    std::chrono::milliseconds grace {8'000};
    /// The interval between two reports of an upstream.
    std::chrono::milliseconds reportInterval {1'200};
    /// The time for which the store retains the records of the fleet's journal.
    std::chrono::milliseconds journalRetention {300'000};
    RetryBudgetLimits retries;
    /// The memory that the process may use, 0 if unknown.
    std::size_t memoryBytes = 0;
    /// Whether callers and upstreams may read slowly and engines terminate when the requests that
    /// they hold exceed their memory. Switches on the limit on the memory of an instance.
    bool isMemoryScarce = false;
    /// Whether the prompts of all instances at an engine are limited by its memory.
    bool limitsEngineMemory = false;
    /// Whether prompts are placed by the measured speeds of engines while those of a service are
    /// uneven.
    bool placesByEngineSpeed = false;
    /// Whether the capacity of engines that are short of it is divided among teams.
    bool sharesEnginesAmongTeams = false;
    /// Whether requests that find no capacity are queued at their instance.
    bool queuesRequests = false;
    /// The memory for the bodies of requests and answers that are held at the same time.
    std::size_t bodyMemoryBytes = std::size_t {64} * 1024 * 1024;
};

} // namespace Gateway
