#pragma once

#include <LibCore/Identifier.h>

#include <chrono>
#include <cstdint>
#include <string>

namespace Router {

/// The identity, polling intervals and limits of this instance.
struct RouterSettings
{
    Core::InstanceId instance;
    Core::DataCentreId dataCentre;
    std::string environment;
    /// Distinguishes this process from earlier processes of the same instance.
    std::uint64_t incarnation = 0;
    /// The interval at which the platform's instance list is read.
    std::chrono::milliseconds directoryPeriod {500};
    /// The interval at which an upstream is polled for its load.
    std::chrono::milliseconds loadPeriod {100};
    std::chrono::milliseconds connectTimeout {1000};
    /// The maximum number of upstreams to which one request may be sent.
    unsigned attempts = 3;
};

} // namespace Router
