#pragma once

#include <LibCore/Clock.h>

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
    struct Target
    {
        std::uint64_t version = 0;
        /// The earliest time at which operators may have named it. Bounds count from it, so that
        /// an instance that learns of weights late does not use older ones for longer.
        Core::Clock::Monotonic namedAt;
        /// When this instance learned of it.
        Core::Clock::Monotonic learnedAt;
    };

    /// Adds a target. Returns false if the version is not higher than the newest one.
    bool addTarget(const std::string &model, const Target &target);
    /// Returns the newest target of each model.
    std::map<std::string, Target> newest() const;
    /// Returns the first target that is newer than the version; empty if there is none.
    std::optional<Target> firstNewer(const std::string &model, std::uint64_t version) const;
    /// Returns the time since which weights of this version count as outdated; empty if they are
    /// the newest.
    std::optional<Core::Clock::Monotonic> outdatedSince(const std::string &model,
                                                        std::uint64_t version) const;

private:
    /// Sorted by version, ascending.
    std::map<std::string, std::vector<Target>> m_targets;
};

} // namespace Gateway
