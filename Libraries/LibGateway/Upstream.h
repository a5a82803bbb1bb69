#pragma once

#include <LibCore/Clock.h>
#include <LibGateway/PrefixCacheEstimate.h>
#include <LibGateway/UpstreamNotices.h>
#include <LibGateway/UpstreamReport.h>

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace Gateway {

/// Prompt tokens that are queued for prefill at an upstream.
struct WaitingTokens
{
    std::uint64_t all = 0;
    /// The part of them that belongs to urgent requests, which are admitted first.
    std::uint64_t urgent = 0;
    /// The number of the other prompts.
    unsigned ordinaryPrompts = 0;

    std::uint64_t ordinary() const { return all - urgent; }
    WaitingTokens &operator+=(const WaitingTokens &other);
};

/// The load that the other instances put on an upstream.
struct SiblingLoad
{
    WaitingTokens waitingTokens;
    unsigned inFlight = 0;
    /// Engine memory that their running and queued requests occupy, in tokens.
    std::uint64_t memoryTokens = 0;
};

/// The state of an upstream as seen by this instance: its last report, the load on it and its
/// recent outcomes.
class Upstream
{
public:
    /// Pause of an upstream that could not be reached, the first time.
    static constexpr std::chrono::milliseconds UnreachablePause {1'000};

    Upstream(UpstreamReport report, std::shared_ptr<UpstreamNotices> notices);

    const UpstreamReport &report() const { return m_report; }
    /// Applies a newer report of this upstream, with the notices of its incarnation. Returns
    /// whether a new incarnation of it started.
    bool update(UpstreamReport report, std::shared_ptr<UpstreamNotices> notices);
    /// Whether the upstream was removed from the list and receives no new requests.
    bool isRemoved() const { return m_isRemoved; }
    void setRemoved() { m_isRemoved = true; }

    /// Returns the notices of the current incarnation. An answer may arrive after the report of the
    /// next one, so they belong to the incarnation that the request was sent to.
    const std::shared_ptr<UpstreamNotices> &notices() const { return m_notices; }
    /// Whether the upstream is about to shut down, by its report or by one of its answers, and
    /// receives no new requests.
    bool isLeaving() const { return m_notices->isLeaving || m_report.isDraining; }

    /// Returns the engine memory that this instance's running and queued requests occupy, in
    /// tokens.
    std::uint64_t memoryTokens() const { return m_memoryTokens; }
    void reserveMemory(std::uint64_t tokens) { m_memoryTokens += tokens; }
    void releaseMemory(std::uint64_t tokens);
    /// Returns the same for all instances.
    std::uint64_t allMemoryTokens() const { return m_memoryTokens + m_siblingLoad.memoryTokens; }

    /// Returns the number of this instance's requests at the upstream.
    unsigned inFlight() const { return m_inFlight; }
    /// Returns the prompt tokens of this instance's requests that are still to be prefilled.
    WaitingTokens waitingTokens() const { return m_waitingTokens; }
    void noteSent(std::uint64_t tokens, bool isUrgent);
    void noteFirstToken(std::uint64_t tokens, bool isUrgent);
    void noteEnd();

    /// Sets the load that the other instances put on the upstream.
    void setSiblingLoad(const SiblingLoad &load) { m_siblingLoad = load; }
    /// Sets that load as known by the keeper of the engine's queue.
    void setKeptLoad(const SiblingLoad &load, Core::Clock::Monotonic now);
    /// Sets that load as the other instances last reported it, unless it is known from the keeper
    /// of the queue, whose knowledge is newer.
    void setReportedLoad(const SiblingLoad &load, Core::Clock::Monotonic now);
    const SiblingLoad &siblingLoad() const { return m_siblingLoad; }
    /// Returns when that load was last set; the minimum if it never was.
    Core::Clock::Monotonic loadKnownAt() const { return m_loadKnownAt; }
    /// Returns the tokens of all instances that are prefilled before those of a new request. An
    /// urgent request precedes the prompts that wait for admission, but an engine completes the
    /// prefill of the prompt that it has admitted.
    std::uint64_t tokensAhead(bool isUrgent) const;
    /// Returns the number of all instances' requests at the upstream.
    unsigned allInFlight() const { return m_inFlight + m_siblingLoad.inFlight; }
    /// Returns how many of them are not ordinary prompts that wait for their first token. Urgent
    /// prompts wait only briefly.
    unsigned runningStreams() const;

    /// Records the outcome of an attempt, so that failing upstreams are detected by their answers
    /// and not only by their reports.
    void noteOutcome(bool isSuccess, Core::Clock::Monotonic now);
    /// Returns the share of recent attempts that failed, from 0 to 1; it decays over time.
    double failureShare(Core::Clock::Monotonic now) const;

    /// Returns the ratio of the actual to the expected time to the first token; 1 is normal, and
    /// more is slower.
    double slowness() const { return m_speed ? 1 / *m_speed : m_slowness; }
    void noteSlowness(double sample);
    /// Sets the speed of the engine relative to the median engine of its service, which replaces
    /// the slowness learned from this instance's answers while the service is uneven; empty
    /// otherwise.
    void setSpeed(std::optional<double> speed) { m_speed = speed; }
    /// Returns the speed that was set, or 1.
    double speed() const { return m_speed.value_or(1); }

    PrefixCacheEstimate &prefixCache() { return m_prefixCache; }
    /// Records that the upstream prefilled or used the parts of a prompt.
    void noteCached(std::span<const PromptPart> parts) { m_prefixCache.noteUse(parts); }
    const PrefixCacheEstimate &prefixCache() const { return m_prefixCache; }

    /// Returns the last known version of the model's weights; 0 if unknown.
    std::uint64_t weights(const std::string &model) const;
    /// Records the version of the weights that the upstream has. A newer version clears the
    /// estimate of its prefix cache.
    void noteWeights(const std::string &model, std::uint64_t version);

    /// Records that this instance could not reach the upstream. It is paused, longer each time, and
    /// is on probation until it answers.
    void noteUnreachable(Core::Clock::Monotonic now);
    /// Records that the upstream answered.
    void noteReached() { m_failedContacts = 0; }
    /// Whether the upstream did not answer when it was last tried. It then receives one request at
    /// a time, since each one may be lost.
    bool isOnProbation() const { return m_failedContacts > 0; }

    /// Records that a sibling could not reach the upstream. A single sibling may be partitioned
    /// itself, so the upstream is paused for the given time only when two siblings report it within
    /// a short time.
    void noteUnreachable(const std::string &sibling, std::chrono::milliseconds pause,
                         Core::Clock::Monotonic now);

    /// Returns the time until which the upstream receives no new requests.
    Core::Clock::Monotonic pausedUntil() const
    {
        return std::max(m_pausedUntil, m_notices->refusingUntil);
    }
    void pauseUntil(Core::Clock::Monotonic time) { m_pausedUntil = time; }
    /// Pauses the upstream at least until the given time.
    void extendPause(Core::Clock::Monotonic time) { m_pausedUntil = std::max(m_pausedUntil, time); }

private:
    UpstreamReport m_report;
    std::shared_ptr<UpstreamNotices> m_notices;
    PrefixCacheEstimate m_prefixCache;
    WaitingTokens m_waitingTokens;
    std::uint64_t m_memoryTokens = 0;
    SiblingLoad m_siblingLoad;
    Core::Clock::Monotonic m_keptLoadAt = Core::Clock::Monotonic::min();
    Core::Clock::Monotonic m_loadKnownAt = Core::Clock::Monotonic::min();
    unsigned m_inFlight = 0;
    double m_failureShare = 0;
    Core::Clock::Monotonic m_lastOutcome = Core::Clock::Monotonic::min();
    double m_slowness = 1;
    std::optional<double> m_speed;
    Core::Clock::Monotonic m_pausedUntil = Core::Clock::Monotonic::min();
    /// How often in a row the upstream could not be reached.
    unsigned m_failedContacts = 0;
    /// The last sibling that reported the upstream as unreachable, and the time of the report.
    std::string m_unreachableReporter;
    Core::Clock::Monotonic m_unreachableReportedAt = Core::Clock::Monotonic::min();
    bool m_isRemoved = false;
};

} // namespace Gateway
