#pragma once

#include <LibCore/Clock.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Admission {

/// What one team asked of one service and what was admitted, in tokens per second. Service and team
/// are identified by the hashes of their names.
struct TeamRate
{
    std::uint64_t service = 0;
    std::uint64_t team = 0;
    double askedPerSecond = 0;
    double admittedPerSecond = 0;
};

/// Returns the entries with the most tokens asked, in descending order, at most `maxEntries`.
std::vector<TeamRate> largestRates(std::vector<TeamRate> rates, std::size_t maxEntries);

/// The position of a team at a service, over all instances that are known.
struct TeamStanding
{
    double askedPerSecond = 0;
    double admittedPerSecond = 0;
    /// What the team may have of the capacity; what it asked if the capacity is not divided.
    double sharePerSecond = 0;
    /// The capacity of the service that is divided; 0 if it is not short.
    double capacityPerSecond = 0;
    /// The time since the reports of other instances were applied; empty if there are none.
    std::optional<std::chrono::milliseconds> reportAge;
};

/// A prompt that exceeds its team's share.
struct TeamExcess
{
    TeamStanding standing;
    /// The time after which this instance is expected to admit a prompt of the team.
    std::chrono::milliseconds retryAfter {0};
};

/// Divides the capacity of a service among teams while it is short, by weighted max-min fairness.
///
/// Load: one team sends a multiple of its usual rate, so that the prompts of all teams wait and are
/// refused for their wait. Each instance measures what its callers ask and what it admits, and adds
/// the figures that the other instances report. The capacity is what is admitted in total, somewhat
/// more while prompts hardly wait and somewhat less while they wait long, so that the engines stay
/// busy. A team that asks more than its share is admitted at the rate of its share; each instance
/// gets the part of that rate that its callers have of what the team asks. No other team is
/// limited.
///
/// Each instance decides alone. Without reports it divides what it observes itself.
class TeamRoom
{
public:
    using Monotonic = Core::Clock::Monotonic;
    using Milliseconds = std::chrono::duration<double, std::milli>;

    /// Sets the weights of teams by name. Without any, all teams weigh the same; otherwise a team
    /// that is not listed has the least of the weights.
    void setWeights(const std::map<std::string, double> &weights);

    /// Counts the tokens of a prompt that has arrived. Must be called once for each prompt.
    void noteAsked(const std::string &service, const std::string &team, std::uint64_t tokens,
                   Monotonic now);
    /// Records the wait that is expected for a prompt that has arrived, and its target.
    void noteWait(const std::string &service, Milliseconds wait, Milliseconds target,
                  Monotonic now);
    /// Returns nothing if a prompt of the team may be sent. Changes no count, so that it may be
    /// asked again for a prompt that waits.
    std::optional<TeamExcess> refuse(const std::string &service, const std::string &team,
                                     std::uint64_t tokens, Monotonic now);
    /// Counts the tokens of a prompt that was sent. Must be called once for each prompt.
    void noteAdmitted(const std::string &service, const std::string &team, std::uint64_t tokens,
                      Monotonic now);
    /// Takes back a call of noteAdmitted() for a prompt that did not run after all.
    void takeBackAdmitted(const std::string &service, const std::string &team, std::uint64_t tokens,
                          Monotonic now);

    /// Returns what the team was admitted over its share; 1 or less is within the share, 0 is a
    /// team that is not known.
    double use(const std::string &service, const std::string &team, Monotonic now);
    TeamStanding standing(const std::string &service, const std::string &team, Monotonic now);
    /// Returns whether the capacity of the service is being divided.
    bool isShort(const std::string &service, Monotonic now);

    /// Returns what this instance measured, the largest entries first, at most `maxEntries`.
    std::vector<TeamRate> ownRates(std::size_t maxEntries, Monotonic now) const;
    /// Replaces the sums of what other instances report, of which several entries may be for the
    /// same team. They are used for some seconds after `measured`.
    void setReported(const std::vector<TeamRate> &rates, Monotonic measured);

    /// The standing of a team of this instance's callers.
    struct NamedStanding
    {
        std::string service;
        std::string team;
        TeamStanding standing;
    };
    /// Returns the standing of all teams of this instance's callers.
    std::vector<NamedStanding> standings(Monotonic now);

private:
    /// A sum whose parts lose weight with age.
    class DecayingSum
    {
    public:
        void add(double amount, Milliseconds decayTime, Monotonic now);
        void set(double amount, Monotonic now);
        double value(Milliseconds decayTime, Monotonic now) const;

    private:
        double m_sum = 0;
        Monotonic m_updated;
    };
    struct Team
    {
        std::string name;
        DecayingSum asked;
        DecayingSum admitted;
        /// The tokens that may still be sent while the team is limited; negative after a prompt
        /// that was larger than what was left.
        double credit = 0;
        double creditPerSecond = 0;
        Monotonic creditTime;
        bool isLimited = false;
    };
    struct Service
    {
        std::string name;
        std::unordered_map<std::uint64_t, Team> teams;
        /// When the first of them was counted.
        Monotonic since;
        /// Prompts, those of them with a long wait, and the sum of their waits as a multiple of
        /// what is a long wait.
        DecayingSum prompts;
        DecayingSum slowPrompts;
        DecayingSum waits;
        bool isShort = false;
        /// When prompts last had to wait.
        Monotonic lastPressure;
        /// What is divided, as a multiple of what is admitted.
        double capacityFactor = 1;
        double capacity = 0;
        /// The most that was admitted, in tokens per second.
        DecayingSum peak;
        std::optional<Monotonic> divided;
        std::unordered_map<std::uint64_t, TeamStanding> standings;
    };

    Service &serviceOf(const std::string &name);
    static Team &teamOf(Service &service, const std::string &name);
    /// Returns tokens per second. In the first seconds of a service, the sum covers less time.
    static double rateOf(const Service &service, const DecayingSum &sum, Monotonic now);
    double weightOf(std::uint64_t team) const;
    /// Divides the service again if the last division is too old.
    void update(std::uint64_t hash, Service &service, Monotonic now);
    static void updateShortage(Service &service, Monotonic now);
    void sumRates(std::uint64_t hash, Service &service, Monotonic now);
    void divide(Service &service, Monotonic now) const;
    static void updateCredits(Service &service, Monotonic now);
    static void addCredit(Team &team, Monotonic now);
    bool hasReports(Monotonic now) const;

    std::unordered_map<std::uint64_t, Service> m_services;
    std::unordered_map<std::uint64_t, double> m_weights;
    double m_leastWeight = 1;
    std::vector<TeamRate> m_reported;
    std::optional<Monotonic> m_reportTime;
};

} // namespace Admission
