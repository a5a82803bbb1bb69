#pragma once

#include <LibCore/Clock.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Gateway {

/// The versions of each model's weights that operators have named, and when.
class WeightsTargets
{
public:
    /// What the time of a target rests on.
    enum class Evidence {
        /// The target was named before this instance started to read, or in an outage, so the time
        /// is an assumption.
        Assumed,
        Sibling,
        /// An earlier read did not contain the target.
        Read,
    };
    struct Target
    {
        std::uint64_t version = 0;
        /// The earliest time at which operators may have named it. Bounds count from it, so that
        /// an instance that learns of weights late does not use older ones for longer.
        Core::Clock::Monotonic namedAt;
        /// When this instance learned of it.
        Core::Clock::Monotonic learnedAt;
        Evidence evidence = Evidence::Read;
    };
    /// A target as instances report it to each other.
    struct Report
    {
        /// Hash of the model's name.
        std::uint64_t model = 0;
        std::uint64_t version = 0;
        /// The time since the target was named, at most.
        std::chrono::milliseconds age {0};
    };

    /// Adds a target. Returns false if the version is not higher than the newest one.
    bool addTarget(const std::string &model, const Target &target);
    /// Applies a sibling's report of a target that this instance cannot date itself. A target that
    /// it has not read is added if it has read a newer one.
    void noteReport(const Report &report, Core::Clock::Monotonic now);
    /// Returns the recent targets whose time does not rest on an assumption.
    std::vector<Report> reports(Core::Clock::Monotonic now) const;
    /// Returns the newest target of each model.
    std::map<std::string, Target> newest() const;
    /// Returns the first target that is newer than the version; empty if there is none.
    std::optional<Target> firstNewer(const std::string &model, std::uint64_t version) const;
    /// Returns the time since which weights of this version count as outdated; empty if they are
    /// the newest.
    std::optional<Core::Clock::Monotonic> outdatedSince(const std::string &model,
                                                        std::uint64_t version) const;

private:
    /// Applies a report to the first target that is not older than the reported one.
    static void noteReport(std::vector<Target> &targets, std::vector<Target>::iterator target,
                           Target reported);

    /// Sorted by version, ascending.
    std::map<std::string, std::vector<Target>> m_targets;
};

} // namespace Gateway
