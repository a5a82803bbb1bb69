#include <LibCore/Hash.h>
#include <LibGateway/WeightsTargets.h>

#include <algorithm>

namespace Gateway {

namespace {

// Older targets are dropped; no engine runs weights that old.
constexpr std::size_t MaxTargets = 64;
// Engines have the weights of older targets, so their age no longer matters.
constexpr std::chrono::seconds ReportedTime {60};
constexpr std::size_t MaxReports = 32;

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

void WeightsTargets::noteReport(const Report &report, Core::Clock::Monotonic now)
{
    const auto namedAt = now - report.age;
    for (auto &[model, targets] : m_targets) {
        if (Core::hash64(model) != report.model)
            continue;
        const auto target = std::find_if(targets.begin(), targets.end(), [&](const Target &it) {
            return it.version >= report.version;
        });
        if (target != targets.end())
            noteReport(targets, target, {report.version, namedAt, now, Evidence::Sibling});
    }
}

void WeightsTargets::noteReport(std::vector<Target> &targets, std::vector<Target>::iterator target,
                                Target reported)
{
    // A datagram that was delayed makes a target appear younger, so the oldest counts.
    if (target->evidence != Evidence::Assumed)
        reported.namedAt = std::min(reported.namedAt, target->namedAt);
    if (target->version != reported.version) {
        // The log keeps only the newest record of a key, so this version was not read.
        targets.insert(target, reported);
        if (targets.size() > MaxTargets)
            targets.erase(targets.begin());
    } else if (target->evidence != Evidence::Read) {
        target->namedAt = reported.namedAt;
        target->evidence = Evidence::Sibling;
    }
}

std::vector<WeightsTargets::Report> WeightsTargets::reports(Core::Clock::Monotonic now) const
{
    std::vector<Report> result;
    for (const auto &[model, targets] : m_targets) {
        for (const auto &target : targets) {
            if (target.evidence != Evidence::Assumed && now - target.namedAt < ReportedTime
                && result.size() < MaxReports)
                result.push_back(
                    {Core::hash64(model), target.version,
                     std::chrono::ceil<std::chrono::milliseconds>(now - target.namedAt)});
        }
    }
    return result;
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
