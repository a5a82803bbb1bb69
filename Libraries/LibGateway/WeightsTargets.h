#pragma once

#include <LibCore/Clock.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Gateway {

/// The weights that operators named for each model, and when this instance learnt it.
class WeightsTargets
{
public:
    struct Target
    {
        std::uint64_t version = 0;
        Core::Clock::Monotonic learnedAt;
    };

    /// Takes a higher version. Returns whether it was one.
    bool addTarget(const std::string &model, std::uint64_t version, Core::Clock::Monotonic now);
    /// The newest target of each model that one was named for.
    std::map<std::string, Target> newest() const;
    /// Since when weights of this version are known to be outdated; none while they are the newest.
    std::optional<Core::Clock::Monotonic> outdatedSince(const std::string &model,
                                                        std::uint64_t version) const;

private:
    /// In rising order of version.
    std::map<std::string, std::vector<Target>> m_targets;
};

} // namespace Gateway
