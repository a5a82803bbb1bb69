#pragma once

#include <LibCore/Identifier.h>

#include <chrono>
#include <cstdint>
#include <string>

namespace Router {

/// Who this instance is and how patient it is.
struct RouterSettings
{
    Core::InstanceId instance;
    Core::DataCentreId dataCentre;
    std::string environment;
    /// Tells this life of the instance from earlier ones.
    std::uint64_t incarnation = 0;
    /// How often the platform's instance list is read.
    std::chrono::milliseconds directoryPeriod {500};
    /// How often an upstream is asked for its load.
    std::chrono::milliseconds loadPeriod {100};
    std::chrono::milliseconds connectTimeout {1000};
    /// Upstreams that one request may be sent to in all.
    unsigned attempts = 3;
};

} // namespace Router
