#pragma once

#include <LibCore/Clock.h>

#include <cstdint>
#include <map>
#include <string>

namespace Gateway {

/// The weights that operators named for each model, and when this instance learnt it.
class WeightsTargets
{
public:
    struct Target
    {
        std::uint64_t version = 0;
        Core::Clock::Monotonic learnt;
    };

    /// Takes a higher version. Returns whether it was one.
    bool name(const std::string &model, std::uint64_t version, Core::Clock::Monotonic now);
    /// The newest target; null when none was named.
    const Target *find(const std::string &model) const;
    const std::map<std::string, Target> &all() const { return m_targets; }

private:
    std::map<std::string, Target> m_targets;
};

} // namespace Gateway
