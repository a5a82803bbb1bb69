#pragma once

#include <LibHttp/Endpoint.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Load {

/// The parameters of the seeded prompts.
struct WorkloadSettings
{
    std::uint64_t seed = 1;
    /// Total length of a prompt.
    std::size_t promptBytes = 4'000;
    /// Length of the prefix that prompts share; at most promptBytes.
    std::size_t sharedPrefixBytes = 2'000;
    /// Number of different prefixes.
    std::size_t prefixes = 16;
};

/// The validated settings of the command line.
struct Settings
{
    /// Requests are sent to these round-robin.
    std::vector<Http::Endpoint> targets;
    std::string key;
    std::string model;
    WorkloadSettings workload;
    /// Closed loop: number of concurrent requests.
    std::size_t connections = 8;
    /// Open loop: mean arrivals per second, independent of the answers. Unset for a closed loop.
    std::optional<double> arrivalRate;
    /// If set, the run ends after this number of requests.
    std::optional<std::uint64_t> requests;
    /// If set, no request is started after this time.
    std::optional<std::chrono::milliseconds> time;
    /// Number of requests to skip at the start of the seeded workload.
    std::uint64_t skip = 0;
    /// The max_tokens field of every request.
    std::size_t tokens = 32;
    bool stream = true;
    std::size_t threads = 2;
    bool json = false;
};

} // namespace Load
