#pragma once

#include <LibCore/Clock.h>
#include <LibGateway/Casualty.h>
#include <LibGateway/PoisonEvidence.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace Gateway {

/// A request, or a part of a prompt, that an upstream answered.
struct AnsweredSuspect
{
    std::uint64_t suspect = 0;
    /// The time since the answer.
    std::chrono::milliseconds age {0};
};

/// A request, or a part of prompts, that crashes upstreams.
struct PoisonCause
{
    /// The digest of the request, or the hash of the part's id.
    std::uint64_t cause = 0;
    /// How long it is still refused; negative after that, until it is forgotten.
    std::chrono::milliseconds remaining {0};
    /// How often in a row it was convicted; the time grows with it.
    unsigned convictions = 1;
};

/// Finds what crashes upstreams, and decides how long it is refused: a part of prompts that crashes
/// the engines that answer it, whatever else the prompt holds, or a whole request that crashes each
/// upstream that runs it. PoisonEvidence weighs the suspects.
///
/// All instances exchange casualties, answered suspects and causes, so they come to the same
/// result. Suspects are named by hashes: parts by those of their ids, requests by their digests.
class PoisonTable
{
public:
    /// Records a casualty of this instance or of a sibling. Repeats are ignored.
    void noteCasualty(const Casualty &casualty, Core::Clock::Monotonic now);
    /// Records that an upstream answered a request of this instance with these suspects: the parts
    /// of its prompt and its digest.
    void noteAnswered(std::span<const std::uint64_t> suspects, Core::Clock::Monotonic now);
    /// Records that a sibling reported an answered suspect.
    void noteAnsweredBySibling(const AnsweredSuspect &answered, Core::Clock::Monotonic now);
    /// Records that a sibling or the journal reported a cause of crashes.
    void notePoison(const PoisonCause &poison, Core::Clock::Monotonic now);

    /// Returns the cause of crashes among the suspects of a request, of several the one that is
    /// refused longest; empty if there is none.
    std::optional<std::uint64_t> findPoison(std::span<const std::uint64_t> suspects,
                                            Core::Clock::Monotonic now) const;
    /// Returns whether one request with the cause may be sent to find out whether it still crashes
    /// upstreams. To be called at one instance only.
    bool mayTry(std::uint64_t cause, Core::Clock::Monotonic now);

    /// Returns the suspects of recent casualties that are known here to have been answered, and
    /// that were not returned before.
    std::vector<AnsweredSuspect> takeAnsweredSuspects(Core::Clock::Monotonic now);
    /// Returns the causes of crashes.
    std::vector<PoisonCause> causes(Core::Clock::Monotonic now) const;

    /// Called when a suspect is found to crash upstreams.
    std::function<void(const PoisonEvidence::Charge &charge)> onPoison;
    /// Called when a suspect is no longer considered to crash upstreams.
    std::function<void(std::uint64_t cause)> onAcquitted;

private:
    struct Conviction
    {
        Core::Clock::Monotonic since;
        Core::Clock::Monotonic lastCasualty;
        Core::Clock::Monotonic until;
        Core::Clock::Monotonic nextTrial;
        unsigned convictions = 1;
    };

    /// Returns the evidence of requests with or without parts in common with others.
    PoisonEvidence &evidenceOf(bool hasParts) { return hasParts ? m_prompts : m_plain; }
    void judgeIfDue(Core::Clock::Monotonic now);
    /// Convicts the suspects that the evidence proves to be poison, and withdraws convictions that
    /// later evidence explains otherwise.
    void judge(const PoisonEvidence &evidence, Core::Clock::Monotonic now);
    void convict(const PoisonEvidence::Charge &charge, Core::Clock::Monotonic now);
    /// Returns whether other causes explain the evidence against the suspect.
    bool isExplained(std::uint64_t suspect) const;
    void withdrawExplained(Core::Clock::Monotonic now);
    /// Prolongs the convictions of the suspects in a crash.
    void renew(const Casualty &casualty, Core::Clock::Monotonic now);
    PoisonEvidence::Causes knownCauses() const;
    /// Returns the causes that may not be tried again yet.
    PoisonEvidence::Causes activeCauses(Core::Clock::Monotonic now) const;
    void acquitAnswered(std::uint64_t suspect, Core::Clock::Monotonic time);
    /// Returns whether siblings may need to know of the answer to judge these crashes.
    bool isNews(std::uint64_t suspect, Core::Clock::Monotonic answer,
                const CrashEvidence::Crashes &crashes) const;
    void acquit(std::uint64_t cause);
    void removeExpired(Core::Clock::Monotonic now);
    void makeRoom();

    /// Requests whose prompts have parts in common with others, and those without such parts. Their
    /// answers are not comparable, because engines and plain upstreams crash for reasons of their
    /// own.
    PoisonEvidence m_prompts;
    PoisonEvidence m_plain;
    std::unordered_map<std::uint64_t, Conviction> m_poison;
    /// When the published answers were, by suspect with casualties.
    std::unordered_map<std::uint64_t, Core::Clock::Monotonic> m_published;
    Core::Clock::Monotonic m_lastCasualty;
    Core::Clock::Monotonic m_nextJudgement;
    bool m_isUndecided = false;
};

} // namespace Gateway
