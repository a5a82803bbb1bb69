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

/// Slots held or used, times the microseconds of it.
using SlotMicroseconds = std::uint64_t;

/// Tokens that upstreams reported.
struct TokenCounts
{
    /// Prompt tokens that were computed.
    std::uint64_t computed = 0;
    /// Prompt tokens found in a cache.
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

/// What one team used in a record's interval.
struct TeamUse
{
    Core::TeamId team;
    SlotMicroseconds slots = 0;
    TokenCounts tokens;

    friend bool operator==(const TeamUse &, const TeamUse &) = default;
};

/// What one instance held and the teams used of one group in one interval.
struct UsageRecord
{
    /// Grows by one a record of the instance's incarnation, from 1.
    std::uint64_t sequence = 0;
    Core::UpstreamGroupId group;
    /// The configuration whose contracts were in force.
    std::uint64_t generation = 0;
    Core::Clock::Wall start;
    std::chrono::microseconds length {0};
    /// Slots that the instance held, times the interval.
    SlotMicroseconds capacity = 0;
    std::vector<TeamUse> uses;

    friend bool operator==(const UsageRecord &, const UsageRecord &) = default;
};

/// Records of one instance as one append to the platform's log carries them.
struct UsageBatch
{
    Core::InstanceId instance;
    std::uint64_t incarnation = 0;
    /// Whether the instance ended in order and writes no more records in this incarnation.
    bool isLast = false;
    std::vector<UsageRecord> records;

    friend bool operator==(const UsageBatch &, const UsageBatch &) = default;
};

/// The batch as bytes for the log.
std::string encode(const UsageBatch &batch);

/// Reads a batch. Errors: FrameInvalid when the bytes do not verify.
Core::Result<UsageBatch> decodeUsageBatch(std::string_view bytes);

} // namespace Accounting
