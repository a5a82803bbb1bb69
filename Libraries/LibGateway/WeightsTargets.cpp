#include <LibGateway/WeightsTargets.h>

namespace Gateway {

bool WeightsTargets::name(const std::string &model, std::uint64_t version,
                          Core::Clock::Monotonic now)
{
    auto &target = m_targets[model];
    if (version <= target.version)
        return false;
    target = {version, now};
    return true;
}

const WeightsTargets::Target *WeightsTargets::find(const std::string &model) const
{
    const auto it = m_targets.find(model);
    return it == m_targets.end() ? nullptr : &it->second;
}

} // namespace Gateway
