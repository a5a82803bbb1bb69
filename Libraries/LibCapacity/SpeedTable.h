#pragma once

#include <LibCapacity/OverheadEstimate.h>
#include <LibCapacity/SpeedEstimate.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace Capacity {

/// The speeds of the engines of one service, as measured where their queues are kept: by this
/// instance for its own queues, by others for the rest.
///
/// Answers the load that placement at one rate for all engines puts on the slow ones. It takes
/// effect only while the engines are measured to be uneven, so that a uniform service is served by
/// its common rate.
class SpeedTable
{
public:
    /// The prefill rate of an engine of speed 1, in tokens per millisecond. Common to all
    /// instances, so that the speeds that they measure are comparable.
    static constexpr double ReferenceRate = 50;

    /// The prefill of a prompt, as seen by the keeper of the engine's queue.
    struct Sample
    {
        /// Identifies the engine.
        std::uint64_t upstream = 0;
        /// Identifies the instance that sent the prompt.
        std::uint64_t sender = 0;
        std::uint64_t tokens = 0;
        /// The time from when the engine could begin the prompt to its first token.
        Milliseconds time {0};
    };
    /// An estimate as exchanged with other instances.
    struct Report
    {
        std::uint64_t upstream = 0;
        double speed = 1;
        double samples = 0;
        /// The time since the last sample.
        Milliseconds age {0};
    };
    /// Where an estimate comes from.
    enum class Origin {
        /// Samples of this instance.
        Own,
        /// The report of another instance.
        Instance,
        /// The hub of another data centre.
        DataCentre,
        /// The hub of the own data centre, about the others.
        Elsewhere,
    };

    void addSample(const Sample &sample, Monotonic now);
    /// Applies the report unless a newer estimate is known.
    void noteReport(const Report &report, Origin origin, Monotonic now);
    /// Forgets the engines for which the predicate returns false.
    void removeUnless(const std::function<bool(std::uint64_t upstream)> &isListed);
    /// Returns the estimates of the given origin that are recent enough to be passed on.
    std::vector<Report> reports(Origin origin, Monotonic now) const;

    /// Updates what the functions below return. To be called periodically.
    void refresh(Monotonic now);
    /// Whether the engines differ so much that placement should use their own speeds.
    bool isUneven() const { return m_isUneven; }
    /// Returns the rate of the median engine, in tokens per millisecond.
    double medianRate() const { return m_median * ReferenceRate; }
    /// Returns the speed of the engine, 1 being that of the median one. Close to 1 while little is
    /// known.
    double relativeSpeed(std::uint64_t upstream) const;
    /// Returns the fixed time per prompt that was measured at the own queues.
    Milliseconds overhead() const { return m_overhead.overhead(); }

    /// Called when the estimate of an engine whose queue this instance keeps has changed by a third
    /// or more, with the previous and the new speed relative to the median.
    std::function<void(std::uint64_t upstream, double before, double after)> onSpeedChanged;

private:
    struct Entry
    {
        SpeedEstimate estimate;
        Origin origin = Origin::Own;
        double relativeSpeed = 1;
        /// The speed that was last given to onSpeedChanged, 0 before there was one.
        double announcedSpeed = 0;
    };
    /// How the samples of one sender deviate from the estimates.
    struct Sender
    {
        double deviation = 0;
        unsigned samples = 0;
        Monotonic lastSample;
    };

    double trustIn(std::uint64_t sender, double deviation, Monotonic now);
    /// Returns the factor by which all engines that this instance measures appear slower than
    /// those of others; 1 if they do not.
    double keeperFactor(Monotonic now) const;
    void announce(std::uint64_t upstream, Entry &entry, double weight) const;
    void updateUneven(std::vector<double> speeds, Monotonic now);

    std::map<std::uint64_t, Entry> m_entries;
    std::map<std::uint64_t, Sender> m_senders;
    OverheadEstimate m_overhead;
    double m_median = 1;
    double m_keeperFactor = 1;
    /// Since when the speeds have differed enough for an uneven service.
    std::optional<Monotonic> m_unevenSince;
    bool m_isUneven = false;
};

} // namespace Capacity
