#pragma once

#include <LibCore/Clock.h>
#include <LibGateway/PrefixCacheEstimate.h>
#include <LibGateway/UpstreamReport.h>

#include <cstdint>
#include <string>

namespace Gateway {

/// Prompt tokens that an upstream has still to read.
struct WaitingTokens
{
    std::uint64_t all = 0;
    /// Of them, those of urgent requests, which are read first.
    std::uint64_t urgent = 0;
};

/// What the other instances have sent to an upstream.
struct SiblingLoad
{
    WaitingTokens waitingTokens;
    unsigned inFlight = 0;
    /// Tokens that their requests hold in its memory, or will when they run.
    std::uint64_t memoryTokens = 0;
};

/// One upstream as this instance knows it: its last report, what this instance has sent it, and how
/// it answered.
class Upstream
{
public:
    /// Nothing goes for this long to an upstream that could not be reached.
    static constexpr std::chrono::milliseconds UnreachablePause {1'000};

    explicit Upstream(UpstreamReport report);

    const UpstreamReport &report() const { return m_report; }
    /// Takes a newer report of the same upstream. Returns whether another life of it began.
    bool update(UpstreamReport report);
    /// Whether it left the list, so that nothing new goes to it.
    bool isRemoved() const { return m_isRemoved; }
    void setRemoved() { m_isRemoved = true; }

    /// Tokens that this instance's requests hold in its memory, or will when they run.
    std::uint64_t memoryTokens() const { return m_memoryTokens; }
    void reserveMemory(std::uint64_t tokens) { m_memoryTokens += tokens; }
    void releaseMemory(std::uint64_t tokens);
    /// The same of all instances.
    std::uint64_t allMemoryTokens() const { return m_memoryTokens + m_siblingLoad.memoryTokens; }

    /// Requests of this instance that it works on.
    unsigned inFlight() const { return m_inFlight; }
    /// Prompt tokens of this instance's requests that it has still to read.
    WaitingTokens waitingTokens() const { return m_waitingTokens; }
    void noteSent(std::uint64_t tokens, bool isUrgent);
    void noteFirstToken(std::uint64_t tokens, bool isUrgent);
    void noteEnd();

    /// What the other instances said last of their own requests here.
    void setSiblingLoad(const SiblingLoad &load) { m_siblingLoad = load; }
    const SiblingLoad &siblingLoad() const { return m_siblingLoad; }
    /// Tokens of all instances that are read before those of a new request.
    std::uint64_t tokensAhead(bool isUrgent) const;
    /// Requests of all instances that it works on.
    unsigned allInFlight() const { return m_inFlight + m_siblingLoad.inFlight; }

    /// How the answers ended, for judging by what it does rather than by what it says.
    void noteOutcome(bool isSuccess, Core::Clock::Monotonic now);
    /// A share from 0 to 1 of recent requests that failed; fades with time.
    double failureShare(Core::Clock::Monotonic now) const;

    /// How much slower than its service's rate it reads prompts; 1 is the usual.
    double slowness() const { return m_slowness; }
    void noteSlowness(double sample);

    PrefixCacheEstimate &prefixCache() { return m_prefixCache; }
    /// Notes that it read or used a prompt's parts.
    void noteCached(std::span<const PromptPart> parts) { m_prefixCache.noteUse(parts); }
    const PrefixCacheEstimate &prefixCache() const { return m_prefixCache; }

    /// The version of the model's weights that it was last seen to have; 0 when unknown.
    std::uint64_t weights(const std::string &model) const;
    /// Notes weights that it was seen to have. New weights mean that its memory is empty.
    void noteWeights(const std::string &model, std::uint64_t version);

    /// Notes that another instance could not reach it. One that says so may be cut off itself; when
    /// two say so within a while, nothing new goes there for the given time.
    void noteUnreachable(const std::string &sibling, std::chrono::milliseconds pause,
                         Core::Clock::Monotonic now);

    /// Until when an order keeps it from beginning requests.
    Core::Clock::Monotonic pausedUntil() const { return m_pausedUntil; }
    void pauseUntil(Core::Clock::Monotonic time) { m_pausedUntil = time; }

private:
    UpstreamReport m_report;
    PrefixCacheEstimate m_prefixCache;
    WaitingTokens m_waitingTokens;
    std::uint64_t m_memoryTokens = 0;
    SiblingLoad m_siblingLoad;
    unsigned m_inFlight = 0;
    double m_failureShare = 0;
    Core::Clock::Monotonic m_lastOutcome = Core::Clock::Monotonic::min();
    double m_slowness = 1;
    Core::Clock::Monotonic m_pausedUntil = Core::Clock::Monotonic::min();
    /// The last sibling that could not reach it, and when.
    std::string m_unreachableReporter;
    Core::Clock::Monotonic m_unreachableReportedAt = Core::Clock::Monotonic::min();
    bool m_isRemoved = false;
};

} // namespace Gateway
