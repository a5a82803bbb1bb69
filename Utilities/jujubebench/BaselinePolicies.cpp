#include "BaselinePolicies.h"

#include <LibCore/Hash.h>

#include <array>
#include <limits>
#include <random>

namespace Bench {

namespace {

std::uint64_t rendezvousHash(std::uint64_t key, std::uint64_t engine)
{
    const std::array<std::uint64_t, 2> words {key, engine};
    return Core::hash64({reinterpret_cast<const char *>(words.data()), sizeof words});
}

std::size_t rendezvous(std::uint64_t key, std::span<const std::size_t> candidates)
{
    std::size_t best = candidates.front();
    for (const auto candidate : candidates) {
        if (rendezvousHash(key, candidate) > rendezvousHash(key, best))
            best = candidate;
    }
    return best;
}

class RandomPolicy final : public Policy
{
public:
    explicit RandomPolicy(const PolicyContext &context)
        : m_rng(context.seed)
    { }
    std::size_t choose(std::size_t, const WorkItem &,
                       std::span<const std::size_t> candidates) override
    {
        return candidates[m_rng() % candidates.size()];
    }

private:
    std::mt19937_64 m_rng;
};

class RoundRobinPolicy final : public Policy
{
public:
    explicit RoundRobinPolicy(const PolicyContext &context)
        : m_next(context.instances)
    { }
    std::size_t choose(std::size_t instance, const WorkItem &,
                       std::span<const std::size_t> candidates) override
    {
        return candidates[m_next[instance]++ % candidates.size()];
    }

private:
    std::vector<std::size_t> m_next;
};

/// Chooses the engine with the fewest requests according to its last load report and the instance's
/// own requests since; breaks ties at random.
class LeastLoadedPolicy final : public Policy
{
public:
    explicit LeastLoadedPolicy(const PolicyContext &context)
        : m_rng(context.seed)
        , m_loads(context.instances, std::vector<std::size_t>(context.engines->size()))
    { }
    std::size_t choose(std::size_t instance, const WorkItem &,
                       std::span<const std::size_t> candidates) override
    {
        const auto &loads = m_loads[instance];
        std::vector<std::size_t> least;
        for (const auto candidate : candidates) {
            if (!least.empty() && loads[candidate] > loads[least.front()])
                continue;
            if (!least.empty() && loads[candidate] < loads[least.front()])
                least.clear();
            least.push_back(candidate);
        }
        return least[m_rng() % least.size()];
    }
    void sent(std::size_t instance, const WorkItem &, std::size_t engine) override
    {
        ++m_loads[instance][engine];
    }
    void loadReport(std::size_t instance, std::size_t engine, const EngineLoad &load) override
    {
        m_loads[instance][engine] = load.running + load.queued;
    }

private:
    std::mt19937_64 m_rng;
    std::vector<std::vector<std::size_t>> m_loads;
};

/// Places by rendezvous hashing of one block of the prompt.
class HashPolicy final : public Policy
{
public:
    explicit HashPolicy(bool isRoot)
        : m_isRoot(isRoot)
    { }
    std::size_t choose(std::size_t, const WorkItem &item,
                       std::span<const std::size_t> candidates) override
    {
        return rendezvous(m_isRoot ? item.blocks.front() : item.blocks.back(), candidates);
    }

private:
    bool m_isRoot;
};

/// Chooses the least time to first token from the actual state of caches and queues. With upstream
/// affinity it counts missed tokens twice, since storing them evicts others, and breaks ties by
/// rendezvous hashing.
class OraclePolicy final : public Policy
{
public:
    OraclePolicy(const PolicyContext &context, bool usesAffinity)
        : m_engines(*context.engines)
        , m_rng(context.seed)
        , m_usesAffinity(usesAffinity)
    { }
    std::size_t choose(std::size_t, const WorkItem &item,
                       std::span<const std::size_t> candidates) override
    {
        std::size_t best = candidates.front();
        double bestCost = std::numeric_limits<double>::infinity();
        std::uint64_t bestTie = 0;
        for (const auto candidate : candidates) {
            const auto cost = expectedCost(item, *m_engines[candidate]);
            const auto tie =
                m_usesAffinity ? rendezvousHash(item.blocks.back(), candidate) : m_rng();
            if (cost > bestCost || (cost == bestCost && tie < bestTie))
                continue;
            best = candidate;
            bestCost = cost;
            bestTie = tie;
        }
        return best;
    }

private:
    double expectedCost(const WorkItem &item, const FakeEngine &engine) const
    {
        constexpr double DownCost = 1e6;
        if (!engine.isUp())
            return DownCost;
        const auto &settings = engine.settings();
        const auto load = engine.load();
        const auto cached = engine.cache().match(item.blocks);
        const auto missed = static_cast<double>((item.blocks.size() - cached) * BlockTokens);
        const double weight = m_usesAffinity ? 2 : 1;
        double cost = (static_cast<double>(load.pendingPrefillTokens) + missed * weight)
                      / settings.prefillTokensPerSecond;
        if (load.running + load.queued >= settings.slots)
            cost += static_cast<double>(load.running + load.queued + 1 - settings.slots)
                    / static_cast<double>(settings.slots);
        return cost;
    }

    const std::vector<std::unique_ptr<FakeEngine>> &m_engines;
    std::mt19937_64 m_rng;
    bool m_usesAffinity;
};

} // namespace

std::unique_ptr<Policy> makeBaselinePolicy(const std::string &name, const PolicyContext &context)
{
    if (name == "random")
        return std::make_unique<RandomPolicy>(context);
    if (name == "round-robin")
        return std::make_unique<RoundRobinPolicy>(context);
    if (name == "least-loaded")
        return std::make_unique<LeastLoadedPolicy>(context);
    if (name == "hash-root" || name == "hash-prompt")
        return std::make_unique<HashPolicy>(name == "hash-root");
    if (name == "oracle" || name == "oracle-home")
        return std::make_unique<OraclePolicy>(context, name == "oracle-home");
    return nullptr;
}

} // namespace Bench
