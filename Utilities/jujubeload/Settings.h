#pragma once

#include <LibHttp/Endpoint.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Load {

/// The shape of the seeded prompts.
struct WorkloadSettings
{
    std::uint64_t seed = 1;
    /// Length of a whole prompt.
    std::size_t promptBytes = 4'000;
    /// Length of what prompts of one prefix have in common; at most promptBytes.
    std::size_t sharedPrefixBytes = 2'000;
    /// How many prefixes there are.
    std::size_t prefixes = 16;
};

/// The command line, checked.
struct Settings
{
    /// Requests go to these in turn.
    std::vector<Http::Endpoint> targets;
    std::string key;
    std::string model;
    WorkloadSettings workload;
    /// Closed loop: how many requests are under way at any time.
    std::size_t connections = 8;
    /// Open loop: mean arrivals a second, whatever the answers do. Unset for the closed loop.
    std::optional<double> arrivalRate;
    /// Ends the run after this many requests, where set.
    std::optional<std::uint64_t> requests;
    /// Starts no request after this time, where set.
    std::optional<std::chrono::milliseconds> time;
    /// Requests of the seeded work to pass over.
    std::uint64_t skip = 0;
    /// max_tokens of every request.
    std::size_t tokens = 32;
    bool stream = true;
    std::size_t threads = 2;
    bool json = false;
};

} // namespace Load
