#pragma once

#include <LibCore/Clock.h>

#include <cstdint>
#include <unordered_map>

namespace Gateway {

/// The usage cap of a team over all instances, in tokens or requests.
struct QuotaLimit
{
    double perSecond = 0;
    double burst = 0;
    bool operator==(const QuotaLimit &) const = default;
};

/// One instance's part of the teams' usage caps.
///
/// Each instance earns an equal part of a team's rate, into a bucket that holds an equal part of
/// its burst. Units that it does not need are moved to where they are needed: they leave the
/// donor's bucket before they are sent, so units are never duplicated. Whatever messages are lost,
/// late or cut off, and whoever asks whom, all instances together spend no more than they earn. An
/// instance that starts has earned nothing, so a restart does not repeat a burst.
class QuotaLedger
{
public:
    /// Sets the caps and the number of instances that may be running; while that is not known, 0,
    /// and nothing is earned. Lower caps take effect at once. Teams are named by a hash.
    void configure(const std::unordered_map<std::uint64_t, QuotaLimit> &limits, unsigned instances,
                   Core::Clock::Monotonic now);
    bool isCapped(std::uint64_t team) const { return m_teams.contains(team); }

    /// Spends units. Returns false, and spends nothing, if there are too few.
    bool take(std::uint64_t team, double units, Core::Clock::Monotonic now);
    /// Returns how many units are missing to spend so many.
    double missing(std::uint64_t team, double units, Core::Clock::Monotonic now);
    /// Adds units of a request that did not run, as far as the bucket holds them: what was earned
    /// meanwhile is not spent beside them.
    void giveBack(std::uint64_t team, double units, Core::Clock::Monotonic now);
    /// Adds units that another instance granted for a request. Beyond the bucket, they are
    /// available for a short time.
    void put(std::uint64_t team, double units, Core::Clock::Monotonic now);
    /// Removes up to so many units for another instance, and returns their number. What this
    /// instance is expected to need soon is retained.
    double donate(std::uint64_t team, double wanted, Core::Clock::Monotonic now);

    /// Allows the pool to hold this many units for a large request.
    void expectInPool(std::uint64_t team, double units, Core::Clock::Monotonic now);
    /// Adds units that were donated to this instance as the team's pool.
    void addToPool(std::uint64_t team, double units, Core::Clock::Monotonic now);
    /// Removes up to so many units from the pool, and returns their number.
    double takeFromPool(std::uint64_t team, double wanted, Core::Clock::Monotonic now);

private:
    struct Team
    {
        QuotaLimit limit;
        double units = 0;
        double pool = 0;
        double poolCapacity = 0;
        Core::Clock::Monotonic poolUpdated;
        Core::Clock::Monotonic excessUntil;
        Core::Clock::Monotonic updated;
        /// Units spent a second by this instance, averaged.
        double demand = 0;
    };

    Team *refilled(std::uint64_t team, Core::Clock::Monotonic now);

    /// Returns the units that the bucket of this instance holds.
    double capacity(const Team &team) const;

    std::unordered_map<std::uint64_t, Team> m_teams;
    unsigned m_instances = 0;
};

} // namespace Gateway
