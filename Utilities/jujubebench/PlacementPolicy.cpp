#include "PlacementPolicy.h"

#include <LibCore/Error.h>
#include <LibPlacement/Placement.h>

#include <algorithm>
#include <array>
#include <string_view>

namespace Bench {

namespace {

using Placement::PlacementSettings;
using Placement::PromptBlocks;
using Placement::UpstreamSlot;

/// Settings of LibPlacement and of its caller.
struct PlacementPolicySettings : PlacementSettings
{
    // Several times the number of blocks that all engines cache, and still fast to search at each
    // exchange.
    PlacementPolicySettings() { prefixIndexCapacity = 8192; }
    bool exchanges = true;
};

/// Names a variant of the LibPlacement policy and the changes to its settings.
struct Variant
{
    std::string name;
    std::function<void(PlacementPolicySettings &)> apply;
};

const std::vector<Variant> &variants()
{
    static const std::vector<Variant> all {
        {"placement", [](auto &) {}},
        {"no-beliefs", [](auto &settings) { settings.usesPrefixIndex = false; }},
        {"no-homes", [](auto &settings) { settings.usesPreferredUpstreams = false; }},
        {"no-width", [](auto &settings) { settings.scalesPreferredUpstreams = false; }},
        {"no-own-sends", [](auto &settings) { settings.usesOwnSends = false; }},
        {"no-slowness", [](auto &settings) { settings.usesSlowness = false; }},
        {"no-cache-events", [](auto &settings) { settings.usesCacheEvents = false; }},
        {"no-exchange", [](auto &settings) { settings.exchanges = false; }},
        {"no-random", [](auto &settings) { settings.randomises = false; }},
    };
    return all;
}

/// Names a numeric setting.
struct NamedSetting
{
    std::string_view name;
    double PlacementSettings::*member;
};

constexpr std::array NamedSettings {
    NamedSetting {"missWeight", &PlacementSettings::missWeight},
    NamedSetting {"homePrior", &PlacementSettings::preferredUpstreamPrior},
    NamedSetting {"siblingShare", &PlacementSettings::siblingShare},
    NamedSetting {"homeUtilisation", &PlacementSettings::preferredUpstreamUtilisation},
    NamedSetting {"nearEqualShare", &PlacementSettings::nearEqualShare},
};

/// Sets the numeric setting given as name=value. Throws Core::Error(SettingsInvalid) for an unknown
/// name.
void applyOverride(PlacementSettings &settings, const std::string &text)
{
    const auto split = text.find('=');
    const auto name = std::string_view(text).substr(0, split);
    const auto it = std::find_if(NamedSettings.begin(), NamedSettings.end(),
                                 [&](const auto &setting) { return setting.name == name; });
    if (split == std::string::npos || it == NamedSettings.end())
        throw Core::Error(Core::ErrorKind::SettingsInvalid, "unknown setting " + text);
    settings.*(it->member) = std::stod(text.substr(split + 1));
}

/// State of one instance.
struct Instance
{
    std::unique_ptr<Placement::Placement> placement;
    std::unordered_map<std::uint64_t, Placement::Decision> decisions;
};

/// Numbers of prefixes sent to a starting sibling, and to a running sibling at each exchange.
constexpr std::size_t TransferredPrefixes = 2000;
constexpr std::size_t ExchangedPrefixes = 64;

/// Calls LibPlacement as the daemon does, with one object per instance.
class PlacementPolicy final : public Policy
{
public:
    PlacementPolicy(const PolicyContext &context, const PlacementPolicySettings &settings)
        : m_context(context)
        , m_settings(settings)
        , m_rng(context.seed)
        , m_instances(context.instances)
    {
        for (auto &instance : m_instances)
            start(instance);
    }

    std::size_t choose(std::size_t index, const WorkItem &item,
                       std::span<const std::size_t> candidates) override
    {
        auto &instance = m_instances[index];
        const std::vector<UpstreamSlot> slots(candidates.begin(), candidates.end());
        const auto set = instance.placement->makeCandidateSet(slots);
        const auto blocks = PromptBlocks::fromHashes(item.blocks, item.tailTokens);
        const auto decision = instance.placement->choose({blocks, {}, {}}, set, m_rng);
        if (!decision)
            return candidates[m_rng() % candidates.size()];
        instance.decisions[item.id] = *decision;
        return decision->slot;
    }
    void sent(std::size_t index, const WorkItem &item, std::size_t) override
    {
        auto &instance = m_instances[index];
        const auto it = instance.decisions.find(item.id);
        if (it != instance.decisions.end())
            instance.placement->noteSent(it->second, blocksOf(item));
    }
    void firstToken(std::size_t index, const WorkItem &item, std::size_t,
                    std::uint64_t cachedTokens) override
    {
        auto &instance = m_instances[index];
        const auto it = instance.decisions.find(item.id);
        if (it != instance.decisions.end())
            instance.placement->noteFirstToken(it->second, blocksOf(item), cachedTokens);
    }
    void finished(std::size_t index, const WorkItem &item, std::size_t) override
    {
        auto &instance = m_instances[index];
        const auto it = instance.decisions.find(item.id);
        if (it == instance.decisions.end())
            return;
        instance.placement->noteAnswer(it->second);
        instance.decisions.erase(it);
    }
    void failed(std::size_t index, const WorkItem &item, std::size_t engine) override
    {
        auto &instance = m_instances[index];
        const auto it = instance.decisions.find(item.id);
        if (it != instance.decisions.end())
            instance.placement->noteFailed(it->second);
        instance.decisions.erase(item.id);
        instance.placement->noteRemoved(static_cast<UpstreamSlot>(engine));
    }
    void loadReport(std::size_t index, std::size_t engine, const EngineLoad &load) override
    {
        auto &placement = *m_instances[index].placement;
        placement.noteUpstream(viewOf(engine, load.incarnation));
        placement.noteLoadReport(
            static_cast<UpstreamSlot>(engine),
            {load.incarnation, load.measuredAt, static_cast<std::uint32_t>(load.running),
             static_cast<std::uint32_t>(load.queued), load.pendingPrefillTokens});
    }
    void cacheEvent(std::size_t index, std::size_t engine, std::uint64_t incarnation,
                    CacheChange change, std::uint64_t block, std::chrono::milliseconds age) override
    {
        m_instances[index].placement->noteCacheEvent(static_cast<UpstreamSlot>(engine), incarnation,
                                                     block, change == CacheChange::Stored, age);
    }
    void exchange(std::size_t index, std::span<const std::size_t> siblings,
                  std::chrono::milliseconds within) override
    {
        if (!m_settings.exchanges)
            return;
        const auto frequentPrefixes =
            m_instances[index].placement->exportFrequentPrefixes(ExchangedPrefixes, within);
        for (const auto sibling : siblings)
            m_instances[sibling].placement->importFrequentPrefixes(frequentPrefixes);
    }
    void restarted(std::size_t index, std::optional<std::size_t> sibling) override
    {
        auto &instance = m_instances[index];
        start(instance);
        if (sibling) {
            const auto frequentPrefixes =
                m_instances[*sibling].placement->exportFrequentPrefixes(TransferredPrefixes);
            instance.placement->importFrequentPrefixes(frequentPrefixes);
        }
    }

private:
    static PromptBlocks blocksOf(const WorkItem &item)
    {
        return PromptBlocks::fromHashes(item.blocks, item.tailTokens);
    }

    Placement::UpstreamView viewOf(std::size_t engine, std::uint64_t incarnation) const
    {
        const auto &settings = (*m_context.engines)[engine]->settings();
        return {Core::UpstreamId(settings.name), incarnation, 1, settings.prefillTokensPerSecond,
                static_cast<std::uint32_t>(settings.slots)};
    }

    /// Starts the instance with only the list of upstreams.
    void start(Instance &instance)
    {
        instance.decisions.clear();
        instance.placement =
            std::make_unique<Placement::Placement>(m_context.queue->clock(), m_settings);
        instance.placement->noteInstanceCount(m_instances.size());
        // Connecting to an upstream, which precedes any request, reveals its incarnation.
        for (std::size_t i = 0; i < m_context.engines->size(); ++i)
            instance.placement->noteUpstream(viewOf(i, (*m_context.engines)[i]->incarnation()));
    }

    PolicyContext m_context;
    PlacementPolicySettings m_settings;
    std::mt19937_64 m_rng;
    std::vector<Instance> m_instances;
};

} // namespace

std::unique_ptr<Policy> makePlacementPolicy(const std::string &name, const PolicyContext &context)
{
    const auto it = std::find_if(variants().begin(), variants().end(),
                                 [&](const auto &variant) { return variant.name == name; });
    if (it == variants().end())
        return nullptr;
    PlacementPolicySettings settings;
    for (const auto &text : context.overrides)
        applyOverride(settings, text);
    it->apply(settings);
    return std::make_unique<PlacementPolicy>(context, settings);
}

std::span<const std::string> ablationPolicies()
{
    static const std::vector<std::string> names = [] {
        std::vector<std::string> ablations;
        for (const auto &variant : variants())
            ablations.push_back(variant.name);
        ablations.erase(ablations.begin());
        return ablations;
    }();
    return names;
}

} // namespace Bench
