#include <LibCore/ManualClock.h>
#include <LibPlacement/Placement.h>

#include <catch2/catch.hpp>

#include <set>

using namespace Placement;

namespace {

constexpr std::size_t Engines = 5;

/// A cache event that has not been delivered yet.
struct DelayedEvent
{
    UpstreamSlot slot;
    std::uint64_t incarnation;
    BlockHash block;
    bool isStored;
};

/// Simulates engines that crash and an instance whose events about them are delayed, reordered and
/// partly lost.
class CacheHistory
{
public:
    explicit CacheHistory(std::uint64_t seed)
        : m_rng(seed)
    {
        PlacementSettings settings;
        // Without preferred upstreams, the expected cached tokens come from the index alone.
        settings.usesPreferredUpstreams = false;
        m_placement = std::make_unique<::Placement::Placement>(m_clock, settings);
        for (std::size_t i = 0; i < Engines; ++i)
            m_slots.push_back(m_placement->noteUpstream({Core::UpstreamId(std::to_string(i)), 1}));
        m_storedPrefixes.resize(Engines);
        m_incarnations.assign(Engines, 1);
    }

    void step()
    {
        m_clock.advance(std::chrono::milliseconds(m_rng() % 400));
        switch (m_rng() % 6) {
        case 0:
            crash(m_rng() % Engines);
            break;
        case 1:
        case 2:
            deliverEvents();
            break;
        default:
            request();
        }
    }

private:
    void crash(std::size_t engine)
    {
        ++m_incarnations[engine];
        m_storedPrefixes[engine].clear();
        m_placement->noteIncarnation(m_slots[engine], m_incarnations[engine]);
        if (m_rng() % 4 == 0) {
            m_placement->noteRemoved(m_slots[engine]);
            m_placement->noteUpstream(
                {Core::UpstreamId(std::to_string(engine)), m_incarnations[engine]});
        }
    }

    void deliverEvents()
    {
        for (std::size_t n = m_rng() % 8; n > 0 && !m_events.empty(); --n) {
            const auto at =
                m_events.begin() + static_cast<std::ptrdiff_t>(m_rng() % m_events.size());
            const auto event = *at;
            m_events.erase(at);
            if (m_rng() % 3 != 0)
                m_placement->noteCacheEvent(event.slot, event.incarnation, event.block,
                                            event.isStored,
                                            std::chrono::milliseconds(m_rng() % 2000));
        }
    }

    void request()
    {
        const CacheScope scope {Core::TeamId(std::to_string(m_rng() % 3)), Core::ModelId("m"),
                                std::to_string(m_rng() % 2)};
        const std::string text(BlockTokens * BytesPerToken, static_cast<char>('a' + m_rng() % 3));
        const auto blocks = PromptBlocks::create(scope, text + text);
        const auto set = m_placement->makeCandidateSet(m_slots);
        auto decision = m_placement->choose({blocks, {}, {}}, set, m_rng);
        REQUIRE(decision);
        const auto engine = decision->slot;
        REQUIRE(decision->incarnation == m_incarnations[engine]);
        // Stored prefixes are tracked by scope and text, which detects a hash shared by two scopes.
        const auto name = scope.team.value() + "/" + scope.weightsVersion + "/" + text[0];
        const auto maxCachedTokens = m_storedPrefixes[engine].contains(name) ? 2 * BlockTokens : 0;
        // The expected tokens are limited to what this incarnation has ever stored.
        REQUIRE(decision->expectedCachedTokens <= maxCachedTokens);

        m_placement->noteSent(*decision, blocks);
        m_storedPrefixes[engine].insert(name);
        for (const auto block : blocks.hashes())
            m_events.push_back({engine, m_incarnations[engine], block, m_rng() % 4 != 0});
        if (m_rng() % 3 == 0)
            m_delayedAnswers.emplace_back(*decision, blocks);
        else
            m_placement->noteFirstToken(*decision, blocks, 0);
        // Answers of ended incarnations are delivered, too.
        if (!m_delayedAnswers.empty() && m_rng() % 2 == 0) {
            const auto [old, oldBlocks] = m_delayedAnswers.back();
            m_delayedAnswers.pop_back();
            m_placement->noteFirstToken(old, oldBlocks, oldBlocks.promptTokens());
        }
    }

    Core::ManualClock m_clock;
    std::mt19937_64 m_rng;
    std::unique_ptr<::Placement::Placement> m_placement;
    std::vector<UpstreamSlot> m_slots;
    std::vector<std::uint64_t> m_incarnations;
    std::vector<std::set<std::string>> m_storedPrefixes;
    std::vector<DelayedEvent> m_events;
    std::vector<std::pair<Decision, PromptBlocks>> m_delayedAnswers;
};

} // namespace

TEST_CASE(
    "expected cached tokens never come from an ended incarnation, another team or older weights")
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        INFO("seed " << seed);
        CacheHistory cacheHistory(seed);
        for (int i = 0; i < 300; ++i)
            cacheHistory.step();
    }
}
