#pragma once

#include <LibCore/Clock.h>
#include <LibGateway/Casualty.h>

#include <cstdint>
#include <list>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace Gateway {

/// A crash of an upstream, with the requests that were lost in it.
struct UpstreamCrash
{
    struct LostRequest
    {
        std::uint64_t identity = 0;
        std::uint64_t digest = 0;
    };
    struct Suspect
    {
        std::vector<LostRequest> requests;
        /// Whether it is a whole request rather than a part.
        bool isRequest = false;
        /// The suspect's largest position in these requests; that of the whole request is last.
        std::size_t depth = 0;
    };

    std::uint64_t id = 0;
    /// Whether the upstream had begun to answer some of the requests.
    bool hasBegun = false;
    /// When its first casualty was reported.
    Core::Clock::Monotonic time;
    /// The identities of the casualties that count.
    std::unordered_set<std::uint64_t> requests;
    std::unordered_map<std::uint64_t, Suspect> suspects;
    /// How many of the suspects are whole requests.
    std::size_t wholeRequests = 0;
};

/// Collects the casualties of recent crashes. Suspects are the parts of their prompts, and the
/// requests as a whole.
class CrashEvidence
{
public:
    using Crashes = std::vector<const UpstreamCrash *>;
    /// The crashes of each suspect, the oldest first.
    using Suspects = std::unordered_map<std::uint64_t, Crashes>;
    /// Which casualties of a crash count.
    enum class Scope {
        All,
        /// Only those that the upstream had begun to answer, if there are any.
        Begun,
    };

    explicit CrashEvidence(Scope scope)
        : m_scope(scope)
    { }
    CrashEvidence(const CrashEvidence &) = delete;
    CrashEvidence &operator=(const CrashEvidence &) = delete;

    Scope scope() const { return m_scope; }
    /// Records a casualty, and forgets the crashes that are older than the retention time. Returns
    /// whether the casualty is new.
    bool note(const Casualty &casualty, Core::Clock::Monotonic now);
    /// The crashes, the oldest first.
    const std::list<UpstreamCrash> &crashes() const { return m_crashes; }
    const Suspects &suspects() const { return m_suspects; }
    /// Returns how many of the suspects are whole requests.
    std::size_t wholeRequests() const { return m_wholeRequests; }

private:
    UpstreamCrash *findCrash(std::uint64_t crash);
    UpstreamCrash &add(std::uint64_t crash, Core::Clock::Monotonic now);
    void addSuspect(UpstreamCrash &crash, const Casualty &casualty, std::uint64_t suspect,
                    std::size_t position);
    void removeOldest();
    void clearSuspects(UpstreamCrash &crash);

    Scope m_scope;
    /// A list, because the suspects refer to its elements.
    std::list<UpstreamCrash> m_crashes;
    /// Kept up to date, because counting the suspects of many waiting requests takes milliseconds.
    Suspects m_suspects;
    std::size_t m_wholeRequests = 0;
};

} // namespace Gateway
