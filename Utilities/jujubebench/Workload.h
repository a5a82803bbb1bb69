#pragma once

#include "EventQueue.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Bench {

/// One level of nested prompt prefixes, such as style guides, or spreads under a style guide.
struct PrefixLevel
{
    /// Different texts under one parent.
    std::size_t count = 1;
    /// Cache blocks of each text.
    std::size_t blocks = 1;
    /// Zipf exponent of the texts' popularity; zero is even.
    double skew = 0;
    /// After this time a text is replaced by a new one; zero keeps it for the whole run.
    std::chrono::milliseconds lifetime {0};
};

/// One team's part in the work.
struct TeamLoad
{
    std::string name;
    /// Relative to the other teams' shares.
    double share = 1;
};

/// Seeded work: Poisson arrivals whose prompts nest in levels.
struct WorkloadSettings
{
    std::vector<TeamLoad> teams;
    std::vector<PrefixLevel> levels;
    double requestsPerSecond = 10;
    EventQueue::Duration duration {std::chrono::seconds(60)};
    /// Share of requests of the urgent class.
    double urgentShare = 0.7;
    std::uint64_t meanTailTokens = 300;
    std::uint64_t meanOutputTokens = 100;
    /// From this time on other texts are the popular ones; zero never shifts.
    EventQueue::Duration shiftAt {0};
};

/// One request of the work.
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
    /// Picks the entry instance, modulo the number that are up.
    std::uint64_t balancerDraw = 0;
};

/// Makes the whole work of a run in arrival order. Ids start at 1.
std::vector<WorkItem> generateWorkload(const WorkloadSettings &settings, std::uint64_t seed);

} // namespace Bench
