#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Identifier.h>
#include <LibCore/Result.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Accounting {

/// A number of slots multiplied by the time for which they were held or used, in microseconds.
using SlotMicroseconds = std::uint64_t;

/// Token counts reported by upstreams.
struct TokenCounts
{
    /// Prompt tokens that the upstream computed.
    std::uint64_t computed = 0;
    /// Prompt tokens that the upstream read from a cache.
    std::uint64_t cached = 0;
    std::uint64_t generated = 0;

    TokenCounts &operator+=(const TokenCounts &other)
    {
        computed += other.computed;
        cached += other.cached;
        generated += other.generated;
        return *this;
    }
    friend bool operator==(const TokenCounts &, const TokenCounts &) = default;
};

/// One team's use of a group in the interval of a record.
struct TeamUse
{
    Core::TeamId team;
    SlotMicroseconds slots = 0;
    TokenCounts tokens;

    friend bool operator==(const TeamUse &, const TeamUse &) = default;
};

/// The capacity of one group that an instance held in one interval, and its use by each team.
struct UsageRecord
{
    /// Sequence number within the instance's incarnation, starting at 1.
    std::uint64_t sequence = 0;
    Core::UpstreamGroupId group;
    /// Generation of the configuration whose contracts applied.
    std::uint64_t generation = 0;
    Core::Clock::Wall start;
    std::chrono::microseconds length {0};
    /// Slots that the instance held, integrated over the interval.
    SlotMicroseconds capacity = 0;
    std::vector<TeamUse> uses;

    friend bool operator==(const UsageRecord &, const UsageRecord &) = default;
};

/// The usage records of one instance that are written to the platform's log in one append.
struct UsageBatch
{
    Core::InstanceId instance;
    std::uint64_t incarnation = 0;
    /// Whether the instance shut down cleanly and writes no more records in this incarnation.
    bool isLast = false;
    std::vector<UsageRecord> records;

    friend bool operator==(const UsageBatch &, const UsageBatch &) = default;
};

/// Serializes the batch for the log.
std::string encode(const UsageBatch &batch);

/// Deserializes a batch. Errors: FrameInvalid if the bytes fail FlatBuffers verification.
Core::Result<UsageBatch> decodeUsageBatch(std::string_view bytes);

} // namespace Accounting
