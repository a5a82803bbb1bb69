#include "Workload.h"

#include <LibCore/Hash.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <random>

namespace Bench {

namespace {

/// Draws ranks with a probability that falls as a power of the rank (Zipf).
class ZipfDraw
{
public:
    ZipfDraw(std::size_t count, double skew)
    {
        double sum = 0;
        for (std::size_t i = 1; i <= count; ++i) {
            sum += std::pow(static_cast<double>(i), -skew);
            m_cumulative.push_back(sum);
        }
    }

    std::size_t draw(double uniform) const
    {
        const auto it = std::upper_bound(m_cumulative.begin(), m_cumulative.end(),
                                         uniform * m_cumulative.back());
        return std::min<std::size_t>(static_cast<std::size_t>(it - m_cumulative.begin()),
                                     m_cumulative.size() - 1);
    }

private:
    std::vector<double> m_cumulative;
};

/// Returns a number in [0, 1) that does not depend on the standard library's distributions.
double uniform(std::mt19937_64 &rng)
{
    constexpr double Scale = 1.0 / 9007199254740992.0; // 2^-53
    return static_cast<double>(rng() >> 11) * Scale;
}

double exponential(std::mt19937_64 &rng, double mean)
{
    return -mean * std::log1p(-uniform(rng));
}

std::uint64_t chain(std::uint64_t parent, std::uint64_t text, std::uint64_t block)
{
    const std::array<std::uint64_t, 3> words {parent, text, block};
    return Core::hash64({reinterpret_cast<const char *>(words.data()), sizeof words});
}

/// Appends the blocks of one text of each level.
void appendBlocks(const WorkloadSettings &settings, const std::vector<ZipfDraw> &draws,
                  std::mt19937_64 &rng, WorkItem &item)
{
    const bool isShifted = settings.shiftAt.count() > 0 && item.arrival >= settings.shiftAt;
    std::uint64_t parent = item.team + 1;
    for (std::size_t i = 0; i < settings.levels.size(); ++i) {
        const auto &level = settings.levels[i];
        auto text = static_cast<std::uint64_t>(draws[i].draw(uniform(rng)));
        // A shift makes texts popular that were not requested before.
        if (isShifted && level.count > 1)
            text += level.count;
        if (level.lifetime.count() > 0)
            text += static_cast<std::uint64_t>(item.arrival / level.lifetime) << 32;
        for (std::size_t block = 0; block < level.blocks; ++block) {
            parent = chain(parent, text, block + 1);
            item.blocks.push_back(parent);
        }
    }
}

} // namespace

std::vector<WorkItem> generateWorkload(const WorkloadSettings &settings, std::uint64_t seed)
{
    std::mt19937_64 rng(seed);
    std::vector<ZipfDraw> draws;
    for (const auto &level : settings.levels)
        draws.emplace_back(level.count, level.skew);
    double shares = 0;
    for (const auto &team : settings.teams)
        shares += team.share;

    std::vector<WorkItem> work;
    std::chrono::duration<double> time {0};
    while (true) {
        time += std::chrono::duration<double>(exponential(rng, 1 / settings.requestsPerSecond));
        WorkItem item;
        item.arrival = std::chrono::duration_cast<EventQueue::Duration>(time);
        if (item.arrival >= settings.duration)
            return work;
        item.id = work.size() + 1;
        double draw = uniform(rng) * shares;
        while (item.team + 1 < settings.teams.size() && draw >= settings.teams[item.team].share)
            draw -= settings.teams[item.team++].share;
        item.isUrgent = uniform(rng) < settings.urgentShare;
        appendBlocks(settings, draws, rng, item);
        const auto tail = static_cast<double>(settings.meanTailTokens);
        const auto output = static_cast<double>(settings.meanOutputTokens);
        item.tailTokens = 1 + static_cast<std::uint64_t>(exponential(rng, tail));
        item.outputTokens = 1 + static_cast<std::uint64_t>(exponential(rng, output));
        item.balancerDraw = rng();
        work.push_back(std::move(item));
    }
}

} // namespace Bench
