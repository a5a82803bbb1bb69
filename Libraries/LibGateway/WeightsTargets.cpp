#include <LibGateway/WeightsTargets.h>

#include <algorithm>

namespace Gateway {

namespace {

// Older targets are dropped; no engine runs weights that old.
constexpr std::size_t MaxTargets = 64;

} // namespace

bool WeightsTargets::addTarget(const std::string &model, const Target &target)
{
    auto &targets = m_targets[model];
    if (!targets.empty() && target.version <= targets.back().version)
        return false;
    targets.push_back(target);
    if (targets.size() > MaxTargets)
        targets.erase(targets.begin());
    return true;
}

std::map<std::string, WeightsTargets::Target> WeightsTargets::newest() const
{
    std::map<std::string, Target> result;
    for (const auto &[model, targets] : m_targets)
        result[model] = targets.back();
    return result;
}

std::optional<WeightsTargets::Target> WeightsTargets::firstNewer(const std::string &model,
                                                                 std::uint64_t version) const
{
    const auto it = m_targets.find(model);
    if (it == m_targets.end())
        return std::nullopt;
    const auto newer = std::find_if(it->second.begin(), it->second.end(),
                                    [version](const Target &t) { return t.version > version; });
    return newer == it->second.end() ? std::nullopt : std::optional(*newer);
}

std::optional<Core::Clock::Monotonic> WeightsTargets::outdatedSince(const std::string &model,
                                                                    std::uint64_t version) const
{
    const auto newer = firstNewer(model, version);
    return newer ? std::optional(newer->namedAt) : std::nullopt;
}

} // namespace Gateway
