#pragma once

#include <LibCore/Clock.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <vector>

namespace Gateway {

/// A prompt that was lost because its engine crashed before the engine had shown that it can answer
/// it.
struct PromptCasualty
{
    /// Identifies the crash: a hash of the engine's id and start time.
    std::uint64_t crash = 0;
    /// The digest of the request, equal for all its attempts.
    std::uint64_t request = 0;
    /// Hashes of the ids of the prompt's parts, without the last one.
    std::vector<std::uint64_t> parts;
};

/// A part of a prompt that an engine answered.
struct AnsweredPart
{
    std::uint64_t part = 0;
    /// The time since the answer.
    std::chrono::milliseconds age {0};
};

/// A part that crashes engines.
struct PoisonPart
{
    std::uint64_t part = 0;
    /// How long prompts with the part are still refused.
    std::chrono::milliseconds remaining {0};
    /// How often in a row it was convicted; the time grows with it.
    unsigned convictions = 1;
};

/// Finds the prompt parts that crash the engines that answer them, among the parts that they share
/// prompts with: a part that was in several crashes and in no answer.
///
/// All instances exchange casualties, answered parts and poison parts, so they come to the same
/// result. Parts are named by hashes of their ids.
class PoisonPartTable
{
public:
    /// Records a casualty of this instance or of a sibling. Repeats are ignored.
    void noteCasualty(const PromptCasualty &casualty, Core::Clock::Monotonic now);
    /// Records that an engine answered a prompt of this instance with these parts.
    void noteAnswered(std::span<const std::uint64_t> parts, Core::Clock::Monotonic now);
    /// Records that a sibling reported an answered part.
    void noteAnsweredBySibling(const AnsweredPart &answered, Core::Clock::Monotonic now);
    /// Records that a sibling or the journal reported a poison part.
    void notePoison(const PoisonPart &poison, Core::Clock::Monotonic now);

    /// Returns the poison part among the parts of a prompt; empty if there is none.
    std::optional<std::uint64_t> findPoison(std::span<const std::uint64_t> parts,
                                            Core::Clock::Monotonic now) const;
    /// Returns whether one prompt with a poison part may be sent to find out whether it still
    /// crashes engines. To be called at one instance only.
    bool mayTry(std::uint64_t part, Core::Clock::Monotonic now);

    /// Returns the parts of recent casualties that are known here to have been answered, and that
    /// were not returned before.
    std::vector<AnsweredPart> takeAnsweredSuspects(Core::Clock::Monotonic now);
    /// Returns the poison parts.
    std::vector<PoisonPart> poisonParts(Core::Clock::Monotonic now) const;

    /// Called when a part is found to be poison, with the number of its crashes and of the
    /// different requests in them.
    std::function<void(std::uint64_t part, unsigned crashes, unsigned requests)> onPoison;
    /// Called when a poison part is no longer considered one.
    std::function<void(std::uint64_t part)> onAcquitted;
};

} // namespace Gateway
