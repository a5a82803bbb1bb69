#include <LibAccounting/UsageMeter.h>

#include <algorithm>

namespace Accounting {

UsageMeter::UsageMeter(const Core::Clock &clock)
    : m_clock(clock)
{ }

void UsageMeter::noteShare(const Core::UpstreamGroupId &group, std::uint32_t slots)
{
    auto &shard = shardOf(group);
    std::scoped_lock lock(shard.mutex);
    auto &state = shard.groups[group];
    advance(state);
    state.share = slots;
}

void UsageMeter::noteStarted(const Core::UpstreamGroupId &group, const Core::TeamId &team)
{
    auto &shard = shardOf(group);
    std::scoped_lock lock(shard.mutex);
    auto &state = shard.groups[group];
    advance(state);
    ++state.teams[team].running;
}

void UsageMeter::noteFinished(const Core::UpstreamGroupId &group, const Core::TeamId &team,
                              const TokenCounts &tokens)
{
    auto &shard = shardOf(group);
    std::scoped_lock lock(shard.mutex);
    auto &state = shard.groups[group];
    advance(state);
    auto &it = state.teams[team];
    if (it.running > 0)
        --it.running;
    it.tokens += tokens;
}

std::vector<UsageRecord> UsageMeter::closeInterval(std::uint64_t generation)
{
    std::vector<UsageRecord> records;
    for (auto &shard : m_shards) {
        std::scoped_lock lock(shard.mutex);
        for (auto &[group, state] : shard.groups) {
            advance(state);
            records.push_back(close(group, state, generation));
        }
    }
    return records;
}

UsageMeter::Shard &UsageMeter::shardOf(const Core::UpstreamGroupId &group)
{
    return m_shards[std::hash<Core::UpstreamGroupId> {}(group) % ShardCount];
}

std::chrono::microseconds UsageMeter::monotonicNow() const
{
    return std::chrono::duration_cast<std::chrono::microseconds>(m_clock.now().time_since_epoch());
}

void UsageMeter::advance(GroupState &state) const
{
    const auto now = monotonicNow();
    if (!state.accountedUntil) {
        state.accountedUntil = now;
        state.intervalStart = now;
        state.wallStart = m_clock.wallNow();
    }
    // Clock readings of different threads may be out of order, so the difference is clamped to 0.
    const auto elapsed = std::max(std::chrono::microseconds(0), now - *state.accountedUntil);
    const auto micros = static_cast<std::uint64_t>(elapsed.count());
    state.capacity += state.share * micros;
    for (auto &[team, it] : state.teams)
        it.slots += it.running * micros;
    *state.accountedUntil += elapsed;
}

UsageRecord UsageMeter::close(const Core::UpstreamGroupId &group, GroupState &state,
                              std::uint64_t generation) const
{
    UsageRecord record {.group = group,
                        .generation = generation,
                        .start = state.wallStart,
                        .length = *state.accountedUntil - state.intervalStart,
                        .capacity = state.capacity,
                        .uses = {}};
    for (auto &[team, it] : state.teams) {
        if (it.slots > 0 || it.tokens != TokenCounts())
            record.uses.push_back({team, it.slots, it.tokens});
        it.slots = 0;
        it.tokens = {};
    }
    std::erase_if(state.teams, [](const auto &it) { return it.second.running == 0; });
    state.capacity = 0;
    state.intervalStart = *state.accountedUntil;
    state.wallStart += std::chrono::duration_cast<Core::Clock::Wall::duration>(record.length);
    return record;
}

} // namespace Accounting
