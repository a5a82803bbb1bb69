#include <LibGateway/QuotaLedger.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace Gateway {

namespace {

using Seconds = std::chrono::duration<double>;

// The time over which demand is averaged, and for which a donor retains its own.
constexpr Seconds DemandTime {2};
constexpr Seconds RetainedTime {0.1};
// A request spends many units at once, so as much as is earned in this time can be stored although
// the cap has a smaller burst.
constexpr Seconds MinBurstTime {0.5};
// The buckets hold half of the burst and a pool the other half, or one large request.
constexpr double BucketShare = 0.5;
constexpr double PoolShare = 0.5;
constexpr Seconds PoolLifetime {3};
// The time for a granted request to spend its units.
constexpr std::chrono::milliseconds ExcessTime {100};
// The sums of many moves are not exact.
constexpr double Exactness = 0.999;

double effectiveBurst(const QuotaLimit &limit)
{
    return std::max(limit.burst, limit.perSecond * MinBurstTime.count());
}

} // namespace

void QuotaLedger::configure(const std::unordered_map<std::uint64_t, QuotaLimit> &limits,
                            unsigned instances, Core::Clock::Monotonic now)
{
    const auto previous = std::exchange(m_instances, instances);
    for (const auto &[name, limit] : limits) {
        // What was earned before was earned as one of the previous number of instances.
        m_instances = previous;
        const auto known = refilled(name, now);
        auto &team = known ? *known : m_teams[name];
        m_instances = instances;
        team.limit = limit;
        team.updated = now;
        team.units = std::min(team.units, capacity(team));
        team.poolCapacity = PoolShare * effectiveBurst(limit);
        team.pool = std::min(team.pool, team.poolCapacity);
    }
    std::erase_if(m_teams, [&limits](const auto &item) { return !limits.contains(item.first); });
    m_instances = instances;
}

double QuotaLedger::capacity(const Team &team) const
{
    return m_instances > 0 ? BucketShare * effectiveBurst(team.limit) / m_instances : 0;
}

QuotaLedger::Team *QuotaLedger::refilled(std::uint64_t name, Core::Clock::Monotonic now)
{
    const auto it = m_teams.find(name);
    if (it == m_teams.end())
        return nullptr;
    auto &team = it->second;
    const Seconds elapsed = now - team.updated;
    team.updated = now;
    if (team.units < capacity(team))
        team.units = std::min(capacity(team),
                              team.units + elapsed.count() * team.limit.perSecond / m_instances);
    else if (now > team.excessUntil)
        team.units = capacity(team);
    team.demand *= std::exp(-elapsed / DemandTime);
    if (now - team.poolUpdated > PoolLifetime)
        team.pool = 0;
    return &team;
}

bool QuotaLedger::take(std::uint64_t name, double units, Core::Clock::Monotonic now)
{
    auto *team = refilled(name, now);
    if (!team)
        return true;
    if (team->units < Exactness * units)
        return false;
    team->units = std::max(0.0, team->units - units);
    team->demand += units / DemandTime.count();
    return true;
}

double QuotaLedger::missing(std::uint64_t name, double units, Core::Clock::Monotonic now)
{
    const auto *team = refilled(name, now);
    return team ? std::max(0.0, units - team->units) : 0;
}

void QuotaLedger::giveBack(std::uint64_t name, double units, Core::Clock::Monotonic now)
{
    auto *team = refilled(name, now);
    if (team && team->units < capacity(*team))
        team->units = std::min(capacity(*team), team->units + units);
}

void QuotaLedger::put(std::uint64_t name, double units, Core::Clock::Monotonic now)
{
    auto *team = refilled(name, now);
    if (!team)
        return;
    team->units += std::max(0.0, units);
    team->excessUntil = now + ExcessTime;
}

double QuotaLedger::donate(std::uint64_t name, double wanted, Core::Clock::Monotonic now)
{
    auto *team = refilled(name, now);
    if (!team)
        return 0;
    const double spare = team->units - team->demand * RetainedTime.count();
    const double given = std::clamp(wanted, 0.0, std::max(0.0, spare));
    team->units -= given;
    return given;
}

void QuotaLedger::expectInPool(std::uint64_t name, double units, Core::Clock::Monotonic now)
{
    if (auto *team = refilled(name, now))
        team->poolCapacity = std::max(PoolShare * effectiveBurst(team->limit), units);
}

void QuotaLedger::addToPool(std::uint64_t name, double units, Core::Clock::Monotonic now)
{
    auto *team = refilled(name, now);
    if (!team)
        return;
    team->pool = std::min(team->pool + std::max(0.0, units), team->poolCapacity);
    team->poolUpdated = now;
}

double QuotaLedger::takeFromPool(std::uint64_t name, double wanted, Core::Clock::Monotonic now)
{
    auto *team = refilled(name, now);
    if (!team)
        return 0;
    const double given = std::clamp(wanted, 0.0, team->pool);
    team->pool -= given;
    return given;
}

} // namespace Gateway
