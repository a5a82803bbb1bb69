#pragma once

#include <LibCapacity/Time.h>

#include <cstdint>

namespace Capacity {

/// What an engine holds and what it can hold, in tokens.
struct EngineContents
{
    /// The prompts of all instances that are at the engine, with their expected answers.
    std::uint64_t held = 0;
    /// 0 if unknown; the engine then has no limit.
    std::uint64_t capacity = 0;
};

/// The engine memory that a prompt needs, in tokens.
struct MemoryDemand
{
    std::uint64_t prompt = 0;
    /// The prompt with its expected answer.
    std::uint64_t total = 0;
};

/// What to do with a prompt, by the memory of one engine.
enum class MemoryVerdict {
    Send,
    /// This engine has no room, but another may have.
    ChooseAnother,
    /// No engine has room now.
    Wait,
    /// No engine will ever have room.
    Never,
};

struct MemoryDecision
{
    MemoryVerdict verdict = MemoryVerdict::Send;
    /// The time until this engine is expected to have room; zero if it has, or never will.
    Milliseconds wait {0};
};

/// Decides whether a prompt may be sent to an engine by the engine's memory, and estimates when
/// there will be room. The engines of one service share an object, since their answers take about
/// equally long.
///
/// Addresses a load of many long prompts at once: an engine whose contents exceed its memory moves
/// them, puts requests back in its queue, and terminates if that does not help. The contents are
/// those of all instances, so the decision is exact when they come from the keeper of the engine's
/// queue.
class EngineMemory
{
public:
    /// The rest is for answers that become longer than expected.
    static constexpr double UsableShare = 0.95;

    /// Returns whether the prompt alone exceeds the memory of an engine.
    static bool isTooLarge(std::uint64_t capacity, std::uint64_t promptTokens);
    /// Returns whether the engine has room for the prompt. An empty engine has room for any prompt
    /// that is not too large.
    static bool hasRoom(const EngineContents &engine, const MemoryDemand &demand);

    /// Decides about a prompt at one engine.
    MemoryDecision decide(const EngineContents &engine, const MemoryDemand &demand,
                          bool isOtherPossible) const;
    /// Returns the time until the engine is expected to have room. At a steady load, an engine
    /// frees what it holds once in the mean time that an answer occupies its memory.
    Milliseconds expectedWait(const EngineContents &engine, const MemoryDemand &demand) const;

    /// Records that an answer of this instance has occupied so many tokens for that time. Every
    /// instance learns the same time from its own answers, however few of all answers they are.
    void noteAnswer(std::uint64_t tokens, Milliseconds occupied);
    /// Returns the mean time that a token stays in an engine's memory.
    Milliseconds turnover() const { return Milliseconds(m_weightedTime / m_weight); }

private:
    // Long-running requests free their memory within about three seconds. The weight is that of one
    // long prompt, so that a few answers replace the initial value.
    static constexpr double InitialWeight = 10'000;
    static constexpr Milliseconds InitialTurnover {3'000};

    double m_weight = InitialWeight;
    double m_weightedTime = InitialWeight * InitialTurnover.count();
};

} // namespace Capacity
