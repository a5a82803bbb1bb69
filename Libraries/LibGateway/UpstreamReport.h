#pragma once

#include <LibCore/Identifier.h>
#include <LibGateway/LogPosition.h>
#include <LibHttp/Endpoint.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace Gateway {

/// A report of an upstream's state, as listed in the log.
struct UpstreamReport
{
    Core::UpstreamId id;
    std::string service;
    Http::Endpoint endpoint;
    std::string dataCentre;
    unsigned slots = 1;
    bool isDraining = false;
    /// Sequence number of the report within an incarnation.
    std::uint64_t sequence = 0;
    /// When this incarnation of the upstream started, by the upstream's wall clock.
    std::chrono::milliseconds startTime {0};
    /// Versions of the weights in force, by model.
    std::map<std::string, std::uint64_t> weights;
    /// The position of the report in the log; 0 if it is not known.
    LogPosition position;
};

} // namespace Gateway
