#pragma once

#include <LibCore/Clock.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Gateway {

/// The versions of each model's weights that operators have requested, and when this instance
/// learned of them.
class WeightsTargets
{
public:
    struct Target
    {
        std::uint64_t version = 0;
        Core::Clock::Monotonic learnedAt;
    };

    /// Adds a target. Returns false if the version is not higher than the newest one.
    bool addTarget(const std::string &model, std::uint64_t version, Core::Clock::Monotonic now);
    /// Returns the newest target of each model.
    std::map<std::string, Target> newest() const;
    /// Returns the time since which weights of this version are known to be outdated; empty if they
    /// are the newest.
    std::optional<Core::Clock::Monotonic> outdatedSince(const std::string &model,
                                                        std::uint64_t version) const;

private:
    /// Sorted by version, ascending.
    std::map<std::string, std::vector<Target>> m_targets;
};

} // namespace Gateway
