#pragma once

#include "EventQueue.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Bench {

/// Describes one level of nested prompt prefixes, such as style guides, or spreads under a
/// style guide.
struct PrefixLevel
{
    /// Number of different texts under one parent.
    std::size_t count = 1;
    /// Number of cache blocks of each text.
    std::size_t blocks = 1;
    /// Zipf exponent of the texts' popularity; zero is uniform.
    double skew = 0;
    /// Time after which a text is replaced by a new one; zero keeps it for the whole run.
    std::chrono::milliseconds lifetime {0};
};

/// Describes one team's share of the load.
struct TeamLoad
{
    std::string name;
    /// Weight relative to the other teams.
    double share = 1;
};

/// Configures the seeded load: Poisson arrivals with nested prompt prefixes.
struct WorkloadSettings
{
    std::vector<TeamLoad> teams;
    std::vector<PrefixLevel> levels;
    double requestsPerSecond = 10;
    EventQueue::Duration duration {std::chrono::seconds(60)};
    /// Fraction of the requests that belong to the urgent class.
    double urgentShare = 0.7;
    std::uint64_t meanTailTokens = 300;
    std::uint64_t meanOutputTokens = 100;
    /// Time at which other texts become the popular ones; zero disables the shift.
    EventQueue::Duration shiftAt {0};
};

/// Describes one request of the load.
struct WorkItem
{
    std::uint64_t id = 0;
    EventQueue::Duration arrival {0};
    std::size_t team = 0;
    bool isUrgent = true;
    /// Chained block hashes, BlockTokens each.
    std::vector<std::uint64_t> blocks;
    std::uint64_t tailTokens = 0;
    std::uint64_t outputTokens = 0;
    /// Random number that selects the entry instance, modulo the number of instances that are up.
    std::uint64_t balancerDraw = 0;
};

/// Generates all requests of a run in arrival order. Ids start at 1.
std::vector<WorkItem> generateWorkload(const WorkloadSettings &settings, std::uint64_t seed);

} // namespace Bench
