#pragma once

#include <LibCore/Clock.h>
#include <LibGateway/AnsweredSuspects.h>
#include <LibGateway/Casualty.h>
#include <LibGateway/CrashEvidence.h>
#include <LibGateway/CrashOdds.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <span>
#include <unordered_set>
#include <utility>
#include <vector>

namespace Gateway {

/// Weighs what crashes upstreams: a suspect that was in several crashes and in no answer since,
/// more often than chance explains. Crashes that a known cause explains count against no other
/// suspect.
class PoisonEvidence
{
public:
    /// Causes that are known to crash upstreams.
    using Causes = std::unordered_set<std::uint64_t>;

    /// What speaks against a suspect since its last answer.
    struct Charge
    {
        std::uint64_t suspect = 0;
        std::optional<Core::Clock::Monotonic> lastAnswer;
        /// Crashes shortly after each other count as one moment.
        unsigned moments = 0;
        unsigned crashes = 0;
        /// The different requests with a part; the attempts of a request.
        unsigned requests = 0;
        /// Whether the suspect is a whole request.
        bool isRequest = false;
        /// The largest number of these crashes that one request with the suspect was in.
        unsigned crashesOfOne = 0;
        std::size_t depth = 0;
        Core::Clock::Monotonic firstCrash;
        Core::Clock::Monotonic lastCrash;
        /// The causes that explain other crashes.
        std::vector<std::uint64_t> others;

        bool isSeveralTimes() const;
    };

    /// Records a casualty. Returns whether it is new.
    bool noteCasualty(const Casualty &casualty, Core::Clock::Monotonic now);
    /// Records that an upstream answered a request of this instance with these suspects.
    void noteAnswered(std::span<const std::uint64_t> suspects, Core::Clock::Monotonic now);
    /// Records an answer to a request with the suspect that was begun at the given time.
    void noteAnswer(std::uint64_t suspect, Core::Clock::Monotonic time);
    std::optional<Core::Clock::Monotonic> lastAnswer(std::uint64_t suspect) const;
    /// Returns the last answer unless it is too old to show that the suspect is sound.
    std::optional<Core::Clock::Monotonic> recentAnswer(std::uint64_t suspect,
                                                       Core::Clock::Monotonic now) const;

    /// Returns the strongest of the charges that are proven; empty if none is.
    std::optional<Charge> strongestCharge(const Causes &causes, Core::Clock::Monotonic now) const;
    /// Returns whether causes with more crashes explain the evidence against the suspect.
    bool isExplained(std::uint64_t suspect, const Causes &causes) const;
    /// Returns whether one of the causes was in the crash of the casualty.
    bool hasCause(const Casualty &casualty, const Causes &causes) const;
    bool hasCrashes() const { return !m_all.crashes().empty(); }
    /// The crashes of all suspects.
    const CrashEvidence::Suspects &suspects() const { return m_all.suspects(); }

    /// An answer is noted this long after the upstream began it, which is when it would have
    /// crashed.
    static constexpr std::chrono::milliseconds AnswerTime {500};
    /// Evidence of a crash and answers that disprove it arrive within this time.
    static constexpr std::chrono::milliseconds SettlingTime {800};

private:
    enum class Proof {
        None,
        /// If no suspect of fewer requests is in as many crashes.
        UnlessRarer,
        Certain,
    };
    struct ProvenCharge
    {
        Charge charge;
        Proof proof = Proof::None;
    };
    using Counts = std::function<bool(const UpstreamCrash &)>;

    std::optional<Charge> strongestCharge(const CrashEvidence &evidence, const Causes &causes,
                                          Core::Clock::Monotonic now) const;
    std::vector<ProvenCharge> provenCharges(const CrashEvidence &evidence, const Causes &causes,
                                            Core::Clock::Monotonic now) const;
    /// Counts the crashes. The requests in them are counted by addRequests(), which takes longer.
    Charge charge(std::uint64_t suspect, const CrashEvidence::Crashes &crashes,
                  const Counts &counts) const;
    void addRequests(Charge &charge, const CrashEvidence::Crashes &crashes,
                     const Counts &counts) const;
    Proof proof(const CrashEvidence &evidence, const Charge &charge,
                Core::Clock::Monotonic now) const;
    Proof proofOfCommon(const Charge &charge, const CrashOdds &odds, bool mayBeSound) const;
    CrashOdds odds(const CrashEvidence &evidence, const Charge &charge,
                   Core::Clock::Monotonic now) const;
    /// Returns whether a suspect of fewer requests is in about as many of the crashes.
    static bool hasRarerSuspect(const CrashEvidence &evidence, const Charge &charge,
                                Core::Clock::Monotonic now);
    /// Returns the causes that may explain those of the counted crashes that the suspect is charged
    /// with.
    std::vector<std::uint64_t> explanations(const CrashEvidence &evidence, const Charge &charge,
                                            const Causes &causes, const Counts &counts) const;

    /// An upstream crashes when it begins to answer, so its other requests are usually beyond
    /// suspicion.
    CrashEvidence m_begun {CrashEvidence::Scope::Begun};
    /// An upstream may crash before the head of its answer has left. The request that crashed it
    /// then looks like one that waited there.
    CrashEvidence m_all {CrashEvidence::Scope::All};
    AnsweredSuspects m_answered;
    std::optional<Core::Clock::Monotonic> m_firstAnswer;
    Core::Clock::Monotonic m_lastAnswer;
    /// The numbers of own answers, by time.
    std::deque<std::pair<Core::Clock::Monotonic, unsigned>> m_answerCounts;
};

} // namespace Gateway
