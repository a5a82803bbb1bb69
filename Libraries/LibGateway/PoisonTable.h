#pragma once

#include <LibCore/Clock.h>
#include <LibGateway/AnsweredParts.h>
#include <LibGateway/CrashEvidence.h>
#include <LibGateway/CrashOdds.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Gateway {

/// A prompt that was lost because its engine crashed before the engine had shown that it can answer
/// it.
struct Casualty
{
    /// Identifies the crash: a hash of the engine's id and start time.
    std::uint64_t crash = 0;
    /// The digest of the request, equal for all its attempts.
    std::uint64_t request = 0;
    /// Hashes of the ids of the prompt's parts, without the last one.
    std::vector<std::uint64_t> parts;
    /// Whether the engine had begun to answer the prompt. Those that it had not begun did not make
    /// it crash.
    bool hasBegun = false;
};

/// A part of a prompt that an engine answered.
struct AnsweredSuspect
{
    std::uint64_t suspect = 0;
    /// The time since the answer.
    std::chrono::milliseconds age {0};
};

/// A part that crashes engines.
struct PoisonCause
{
    std::uint64_t cause = 0;
    /// How long prompts with the part are still refused; negative after that, until it is
    /// forgotten.
    std::chrono::milliseconds remaining {0};
    /// How often in a row it was convicted; the time grows with it.
    unsigned convictions = 1;
};

/// Finds the prompt parts that crash the engines that answer them, among the parts that they share
/// prompts with: a part that was in several crashes and in no answer.
///
/// All instances exchange casualties, answered parts and poison parts, so they come to the same
/// result. Parts are named by hashes of their ids.
class PoisonTable
{
public:
    /// Records a casualty of this instance or of a sibling. Repeats are ignored.
    void noteCasualty(const Casualty &casualty, Core::Clock::Monotonic now);
    /// Records that an engine answered a prompt of this instance with these parts.
    void noteAnswered(std::span<const std::uint64_t> parts, Core::Clock::Monotonic now);
    /// Records that a sibling reported an answered part.
    void noteAnsweredBySibling(const AnsweredSuspect &answered, Core::Clock::Monotonic now);
    /// Records that a sibling or the journal reported a poison part.
    void notePoison(const PoisonCause &poison, Core::Clock::Monotonic now);

    /// Returns the poison part among the parts of a prompt, of several the one that is refused
    /// longest; empty if there is none.
    std::optional<std::uint64_t> findPoison(std::span<const std::uint64_t> parts,
                                            Core::Clock::Monotonic now) const;
    /// Returns whether one prompt with a poison part may be sent to find out whether it still
    /// crashes engines. To be called at one instance only.
    bool mayTry(std::uint64_t part, Core::Clock::Monotonic now);

    /// Returns the parts of recent casualties that are known here to have been answered, and that
    /// were not returned before.
    std::vector<AnsweredSuspect> takeAnsweredSuspects(Core::Clock::Monotonic now);
    /// Returns the poison parts.
    std::vector<PoisonCause> causes(Core::Clock::Monotonic now) const;

    /// Called when a part is found to be poison, with the number of its crashes and of the
    /// different requests in them.
    std::function<void(std::uint64_t part, unsigned crashes, unsigned requests)> onPoison;
    /// Called when a poison part is no longer considered one.
    std::function<void(std::uint64_t part)> onAcquitted;

private:
    struct Conviction
    {
        Core::Clock::Monotonic since;
        Core::Clock::Monotonic lastCasualty;
        Core::Clock::Monotonic until;
        Core::Clock::Monotonic nextTrial;
        unsigned convictions = 1;
    };
    enum class Proof {
        None,
        /// If no part of fewer prompts is in as many crashes.
        UnlessRarer,
        Certain,
    };
    /// What speaks against a part since its last answer.
    struct Charge
    {
        std::uint64_t part = 0;
        std::optional<Core::Clock::Monotonic> lastAnswer;
        /// Crashes shortly after each other count as one moment.
        unsigned moments = 0;
        unsigned crashes = 0;
        unsigned requests = 0;
        std::size_t depth = 0;
        Proof proof = Proof::None;
        Core::Clock::Monotonic firstCrash;
        Core::Clock::Monotonic lastCrash;
        /// The poison parts that explain other crashes.
        std::vector<std::uint64_t> others;

        bool isSeveralTimes() const;
    };
    using Suspects = CrashEvidence::Suspects;
    using Counts = std::function<bool(const UpstreamCrash &)>;

    void judgeIfDue(Core::Clock::Monotonic now);
    /// Convicts the parts that the evidence proves to be poison, and withdraws convictions that
    /// later evidence explains otherwise.
    void judge(Core::Clock::Monotonic now);
    std::optional<Charge> strongestCharge(const Suspects &suspects,
                                          Core::Clock::Monotonic now) const;
    /// Counts the crashes. The requests in them are counted by addRequests(), which takes longer.
    Charge charge(std::uint64_t part, const CrashEvidence::Crashes &crashes,
                  const Counts &counts) const;
    void addRequests(Charge &charge, const CrashEvidence::Crashes &crashes,
                     const Counts &counts) const;
    Proof proof(const Charge &charge, const Suspects &suspects, Core::Clock::Monotonic now) const;
    CrashOdds odds(const Charge &charge, const Suspects &suspects,
                   Core::Clock::Monotonic now) const;
    /// Returns whether a part of fewer prompts is in about as many of the crashes.
    bool hasRarerSuspect(const Charge &charge, const Suspects &suspects,
                         Core::Clock::Monotonic now) const;
    /// Returns the poison parts that may explain crashes of the charged part.
    std::vector<std::uint64_t> explanations(const Charge &charge, const Suspects &suspects) const;
    void convict(const Charge &charge, Core::Clock::Monotonic now);
    /// Returns whether poison parts with more crashes explain the evidence against the part.
    bool isExplained(std::uint64_t part, const Suspects &suspects) const;
    void withdrawExplained(const Suspects &suspects, Core::Clock::Monotonic now);
    void renew(const Casualty &casualty, Core::Clock::Monotonic now);
    void noteAnswer(std::uint64_t part, Core::Clock::Monotonic time);
    /// Returns whether siblings may need to know of the answer to judge these crashes.
    bool isNews(std::uint64_t part, Core::Clock::Monotonic answer,
                const CrashEvidence::Crashes &crashes) const;
    void acquit(std::uint64_t part);
    std::optional<Core::Clock::Monotonic> recentAnswer(std::uint64_t part,
                                                       Core::Clock::Monotonic now) const;
    void removeExpired(Core::Clock::Monotonic now);
    void makeRoom();

    CrashEvidence m_evidence;
    AnsweredParts m_answered;
    std::unordered_map<std::uint64_t, Conviction> m_poison;
    /// When the published answers were, by part with casualties.
    std::unordered_map<std::uint64_t, Core::Clock::Monotonic> m_published;
    std::optional<Core::Clock::Monotonic> m_firstAnswer;
    Core::Clock::Monotonic m_lastAnswer;
    /// The numbers of own answers, by time.
    std::deque<std::pair<Core::Clock::Monotonic, unsigned>> m_answerCounts;
    Core::Clock::Monotonic m_lastCasualty;
    Core::Clock::Monotonic m_nextJudgement;
    bool m_isUndecided = false;
};

} // namespace Gateway
