#include <LibPlacement/Placement.h>
#include <LibPlacement/PlacementScratch.h>

#include <algorithm>
#include <cmath>

namespace Placement {

namespace {

/// All members of sets up to this size are evaluated. Of larger sets, only the expected holders,
/// the preferred upstreams and a random sample are.
constexpr std::size_t MaxFullyEvaluated = 64;
constexpr std::size_t SampleSize = 16;

/// The probability that a block is still cached decreases once it has been unused for this long.
constexpr std::chrono::seconds PrefixCacheEntryLifetime {40};

} // namespace

Placement::Placement(const Core::Clock &clock, const PlacementSettings &settings)
    : m_clock(clock)
    , m_start(clock.now())
    , m_settings(settings)
    , m_prefixIndex(settings.prefixIndexCapacity)
{ }

void Placement::noteIncarnation(UpstreamSlot slot, std::uint64_t incarnation)
{
    m_upstreams.noteIncarnation(slot, incarnation);
}

CandidateSet Placement::makeCandidateSet(std::span<const UpstreamSlot> slots) const
{
    return CandidateSet::create(m_upstreams, slots);
}

std::optional<Decision> Placement::choose(const PlacementRequest &request,
                                          const CandidateSet &candidates, std::mt19937_64 &rng,
                                          Explanation *explanation)
{
    thread_local Scratch scratch;
    scratch.begin(now());
    gatherCandidates(scratch, request, candidates, rng);

    const CostTerms *best = nullptr;
    for (std::size_t i = 0; i < scratch.count; ++i) {
        auto &terms = scratch.candidates[i].terms;
        terms.expectedCachedTokens = static_cast<std::uint64_t>(scratch.candidates[i].cachedTokens);
        computeCost(terms, request, candidates, scratch.now);
        if (!terms.isExcluded && (best == nullptr || terms.total < best->total))
            best = &terms;
    }
    if (best == nullptr)
        return std::nullopt;

    // Chooses at random among candidates of nearly equal cost, so that instances with the same
    // stale report do not all choose the same upstream.
    const auto limit = best->total + m_settings.nearEqual
                       + std::max(best->total, Seconds(0)) * m_settings.nearEqualShare;
    std::uint64_t nearEqualCount = 0;
    const CostTerms *chosen = best;
    for (std::size_t i = 0; m_settings.randomises && i < scratch.count; ++i) {
        const auto &terms = scratch.candidates[i].terms;
        if (!terms.isExcluded && terms.total <= limit && rng() % ++nearEqualCount == 0)
            chosen = &terms;
    }

    if (explanation != nullptr)
        explain(*explanation, scratch, chosen->slot);
    const auto &state = m_upstreams.state(chosen->slot);
    Decision decision;
    decision.slot = chosen->slot;
    decision.epoch = chosen->epoch;
    decision.incarnation = state.incarnation.load(std::memory_order_acquire);
    decision.expectedCachedTokens = chosen->expectedCachedTokens;
    decision.terms = *chosen;
    decision.decidedAt = scratch.now;
    return decision;
}

void Placement::explain(Explanation &explanation, const Scratch &scratch, UpstreamSlot chosen) const
{
    explanation.rows.clear();
    for (std::size_t i = 0; i < scratch.count; ++i) {
        const auto &terms = scratch.candidates[i].terms;
        explanation.rows.push_back({m_upstreams.id(terms.slot), terms});
    }
    std::sort(explanation.rows.begin(), explanation.rows.end(),
              [chosen](const auto &left, const auto &right) {
                  const bool isLeftChosen = left.terms.slot == chosen;
                  const bool isRightChosen = right.terms.slot == chosen;
                  if (isLeftChosen != isRightChosen)
                      return isLeftChosen;
                  return left.terms.total < right.terms.total;
              });
}

IndexTime Placement::now() const
{
    // Times start at one millisecond because zero means never.
    const auto elapsed = m_clock.now() - m_start + std::chrono::milliseconds(1);
    return std::chrono::duration_cast<IndexTime>(elapsed);
}

void Placement::gatherCandidates(Scratch &scratch, const PlacementRequest &request,
                                 const CandidateSet &candidates, std::mt19937_64 &rng) const
{
    creditBlocks(scratch, request, candidates);
    const auto slots = candidates.slots();
    if (slots.size() <= MaxFullyEvaluated) {
        for (const auto slot : slots)
            scratch.add(slot);
        return;
    }
    for (std::size_t i = 0; i < SampleSize; ++i)
        scratch.add(slots[rng() % slots.size()]);
    // If the sample contains only excluded or removed upstreams, all members are added.
    const auto isUsable = [&](std::size_t i) {
        const auto slot = scratch.candidates[i].terms.slot;
        return m_upstreams.isCurrent(slot, m_upstreams.state(slot).epoch)
               && std::find(request.excluded.begin(), request.excluded.end(), slot)
                      == request.excluded.end();
    };
    for (std::size_t i = 0; i < scratch.count; ++i) {
        if (isUsable(i))
            return;
    }
    for (const auto slot : slots)
        scratch.add(slot);
}

void Placement::creditBlocks(Scratch &scratch, const PlacementRequest &request,
                             const CandidateSet &candidates) const
{
    const auto hashes = request.blocks.hashes();
    bool isNarrowed = false;
    for (std::size_t i = 0; i < hashes.size(); ++i) {
        PrefixCacheEntry entry;
        const bool isKnown = m_prefixIndex.find(hashes[i], entry);
        if (m_settings.usesPreferredUpstreams) {
            const auto count = preferredUpstreamCount(isKnown ? entry.rate(scratch.now) : 0);
            if (!isNarrowed && count <= MaxPreferredUpstreams && count < candidates.size()) {
                scratch.preferredUpstreamCount =
                    candidates.preferredUpstreams(hashes[i], count, scratch.preferredUpstreams);
                isNarrowed = true;
            } else if (isNarrowed && count < scratch.preferredUpstreamCount) {
                candidates.narrow(
                    hashes[i], count,
                    {scratch.preferredUpstreams.data(), scratch.preferredUpstreamCount});
                scratch.preferredUpstreamCount = count;
            }
        }
        if (isKnown && m_settings.usesPrefixIndex)
            creditHolders(scratch, entry, i, candidates);
        for (std::size_t preferred = 0; preferred < scratch.preferredUpstreamCount; ++preferred)
            scratch.creditPreferredUpstream(
                candidates.slots()[scratch.preferredUpstreams[preferred]], i,
                m_settings.preferredUpstreamPrior);
    }
}

void Placement::creditHolders(Scratch &scratch, const PrefixCacheEntry &entry, std::size_t block,
                              const CandidateSet &candidates) const
{
    for (const auto &holder : entry.holders) {
        if (!m_upstreams.isCurrent(holder.slot, holder.epoch) || !candidates.contains(holder.slot))
            continue;
        auto probability = cachedProbability(holder.lastUse, scratch.now);
        if (scratch.isPreferred(candidates.position(holder.slot)))
            probability = std::max(probability, m_settings.preferredUpstreamPrior);
        scratch.credit(holder.slot, block, probability);
    }
}

std::size_t Placement::preferredUpstreamCount(double rate) const
{
    if (!m_settings.scalesPreferredUpstreams)
        return 1;
    const auto instances = static_cast<double>(m_instances.load(std::memory_order_relaxed));
    const double utilisation =
        rate * instances * m_prefillPerRequest.load(std::memory_order_relaxed);
    const auto count = std::ceil(utilisation / m_settings.preferredUpstreamUtilisation);
    return std::max<std::size_t>(1, static_cast<std::size_t>(count));
}

double Placement::cachedProbability(IndexTime lastUse, IndexTime now)
{
    constexpr double Fresh = 0.95;
    if (now <= lastUse)
        return Fresh;
    const auto age = now - lastUse;
    if (age <= PrefixCacheEntryLifetime)
        return Fresh;
    const Seconds lifetime = PrefixCacheEntryLifetime;
    return Fresh * std::exp(1 - Seconds(age) / lifetime);
}

void Placement::computeCost(CostTerms &terms, const PlacementRequest &request,
                            const CandidateSet &candidates, IndexTime now) const
{
    const auto &state = m_upstreams.state(terms.slot);
    terms.epoch = state.epoch.load(std::memory_order_acquire);
    const auto excluded = request.excluded;
    terms.isExcluded = !m_upstreams.isCurrent(terms.slot, terms.epoch)
                       || std::find(excluded.begin(), excluded.end(), terms.slot) != excluded.end();
    const auto uncachedTokens = request.blocks.promptTokens() - terms.expectedCachedTokens;
    if (m_settings.usesSlowness) {
        terms.slowness = slowness(state, now);
        terms.stall = stall(state, now);
    }
    // A slow upstream also processes its queue more slowly.
    const double rate = state.prefillTokensPerSecond / terms.slowness;
    terms.queueWait = queueWait(state, rate, now);
    terms.prefill = Seconds(static_cast<double>(uncachedTokens) / rate);
    if (!request.preference.empty())
        terms.preference = request.preference[candidates.position(terms.slot)];
    terms.total =
        terms.queueWait + terms.prefill * m_settings.missWeight + terms.stall + terms.preference;
}

Seconds Placement::queueWait(const UpstreamState &state, double rate, IndexTime now) const
{
    const IndexTime reportedAt(state.reportedAt.load(std::memory_order_relaxed));
    const Seconds age = now - std::min(reportedAt, now);
    RecentSends::Sum sent;
    double siblingFactor = 1;
    if (m_settings.usesOwnSends) {
        sent = state.sends.since(reportedAt, now);
        const auto otherInstances = m_instances.load(std::memory_order_relaxed) - 1;
        siblingFactor += m_settings.siblingShare * static_cast<double>(otherInstances);
    }
    const auto reported =
        static_cast<double>(state.pendingPrefillTokens.load(std::memory_order_relaxed));
    const double pending = std::max(0.0, reported + static_cast<double>(sent.tokens) * siblingFactor
                                             - age.count() * rate);
    const double requests = state.running.load(std::memory_order_relaxed)
                            + state.queued.load(std::memory_order_relaxed)
                            + sent.requests * siblingFactor;
    const double slots = state.slots.load(std::memory_order_relaxed);
    const auto excessRequests = std::max(0.0, requests + 1 - slots);
    const Seconds serviceTime(m_secondsPerRequest.load(std::memory_order_relaxed));
    return Seconds(pending / rate) + serviceTime * (excessRequests / slots);
}

} // namespace Placement
