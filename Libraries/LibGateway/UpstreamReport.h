#pragma once

#include <LibCore/Identifier.h>
#include <LibHttp/Endpoint.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace Gateway {

/// What an upstream says of itself in the list.
struct UpstreamReport
{
    Core::UpstreamId id;
    std::string service;
    Http::Endpoint endpoint;
    std::string dataCentre;
    unsigned slots = 1;
    bool isDraining = false;
    /// Rises with each report of one life.
    std::uint64_t sequence = 0;
    /// When this life of the upstream began, in the upstream's calendar time.
    std::chrono::milliseconds startTime {0};
    /// The weights in force, by model.
    std::map<std::string, std::uint64_t> weights;
};

} // namespace Gateway
