#include <LibGateway/Upstream.h>

#include <algorithm>
#include <cmath>

namespace Gateway {

namespace {

// Smoothing factors of the moving averages.
constexpr double FailureGain = 0.25;
constexpr double SlownessGain = 0.1;
// The failure share halves in this time without answers, so that the upstream is tried again.
constexpr std::chrono::duration<double> FailureHalfLife {3.0};
constexpr double MinSlowness = 0.7;
constexpr double MaxSlowness = 4;
// Two siblings that report an upstream as unreachable within this time are unlikely to be both
// partitioned themselves.
constexpr std::chrono::milliseconds UnreachableWindow {1'500};
// An upstream that stays unreachable is tried again at intervals up to this multiple of the first
// pause.
constexpr unsigned MaxPauseDoublings = 2;
// Reports that arrive within this time after the answer of a queue's keeper may be older.
constexpr std::chrono::milliseconds KeptLoadValidity {200};

} // namespace

WaitingTokens &WaitingTokens::operator+=(const WaitingTokens &other)
{
    all += other.all;
    urgent += other.urgent;
    ordinaryPrompts += other.ordinaryPrompts;
    return *this;
}

Upstream::Upstream(UpstreamReport report, std::shared_ptr<UpstreamNotices> notices)
    : m_report(std::move(report))
    , m_notices(std::move(notices))
{ }

bool Upstream::update(UpstreamReport report, std::shared_ptr<UpstreamNotices> notices)
{
    const bool isNewIncarnation =
        report.startTime != m_report.startTime || report.endpoint != m_report.endpoint;
    const auto previous = std::exchange(m_report, std::move(report));
    m_notices = std::move(notices);
    if (isNewIncarnation) {
        m_failedContacts = 0;
        m_pausedUntil = Core::Clock::Monotonic::min();
        m_prefixCache.clear();
        m_failureShare = 0;
        m_slowness = 1;
        return true;
    }
    for (const auto &[model, version] : previous.weights) {
        auto &known = m_report.weights[model];
        // The report may be older than the version seen in an answer.
        known = std::max(known, version);
        if (known != version)
            m_prefixCache.clear();
    }
    return false;
}

void Upstream::noteSent(std::uint64_t tokens, bool isUrgent)
{
    ++m_inFlight;
    m_waitingTokens.all += tokens;
    m_waitingTokens.urgent += isUrgent ? tokens : 0;
    m_waitingTokens.ordinaryPrompts += isUrgent ? 0 : 1;
}

void Upstream::noteFirstToken(std::uint64_t tokens, bool isUrgent)
{
    m_waitingTokens.all -= std::min(m_waitingTokens.all, tokens);
    if (isUrgent)
        m_waitingTokens.urgent -= std::min(m_waitingTokens.urgent, tokens);
    else
        m_waitingTokens.ordinaryPrompts -= m_waitingTokens.ordinaryPrompts > 0 ? 1 : 0;
}

void Upstream::releaseMemory(std::uint64_t tokens)
{
    m_memoryTokens -= std::min(m_memoryTokens, tokens);
}

void Upstream::noteEnd()
{
    m_inFlight -= m_inFlight > 0 ? 1 : 0;
}

void Upstream::setKeptLoad(const SiblingLoad &load, Core::Clock::Monotonic now)
{
    m_siblingLoad = load;
    m_keptLoadAt = now;
    m_loadKnownAt = now;
}

void Upstream::setReportedLoad(const SiblingLoad &load, Core::Clock::Monotonic now)
{
    if (m_keptLoadAt == Core::Clock::Monotonic::min() || now - m_keptLoadAt > KeptLoadValidity) {
        m_siblingLoad = load;
        m_loadKnownAt = now;
    }
}

std::uint64_t Upstream::tokensAhead(bool isUrgent) const
{
    auto waiting = m_waitingTokens;
    waiting += m_siblingLoad.waitingTokens;
    if (!isUrgent || waiting.ordinaryPrompts == 0)
        return waiting.all;
    // One of the ordinary prompts is being prefilled; it is not known which, so their mean counts.
    return waiting.urgent + waiting.ordinary() / waiting.ordinaryPrompts;
}

unsigned Upstream::runningStreams() const
{
    const auto waiting =
        m_waitingTokens.ordinaryPrompts + m_siblingLoad.waitingTokens.ordinaryPrompts;
    return allInFlight() - std::min(allInFlight(), waiting);
}

void Upstream::noteOutcome(bool isSuccess, Core::Clock::Monotonic now)
{
    m_failureShare = failureShare(now);
    m_failureShare += FailureGain * ((isSuccess ? 0.0 : 1.0) - m_failureShare);
    m_lastOutcome = now;
}

double Upstream::failureShare(Core::Clock::Monotonic now) const
{
    if (m_lastOutcome == Core::Clock::Monotonic::min())
        return 0;
    const std::chrono::duration<double> elapsed = now - m_lastOutcome;
    return m_failureShare * std::exp2(-elapsed / FailureHalfLife);
}

void Upstream::noteSlowness(double sample)
{
    m_slowness += SlownessGain * (std::clamp(sample, MinSlowness, MaxSlowness) - m_slowness);
}

void Upstream::noteUnreachable(Core::Clock::Monotonic now)
{
    // Requests that were sent together fail together and count once.
    if (m_pausedUntil <= now)
        ++m_failedContacts;
    const auto doublings = std::min(std::max(m_failedContacts, 1U) - 1, MaxPauseDoublings);
    m_pausedUntil = std::max(m_pausedUntil, now + UnreachablePause * (1U << doublings));
}

void Upstream::noteUnreachable(const std::string &sibling, std::chrono::milliseconds pause,
                               Core::Clock::Monotonic now)
{
    const bool isConfirmed = m_unreachableReportedAt != Core::Clock::Monotonic::min()
                             && now - m_unreachableReportedAt < UnreachableWindow
                             && m_unreachableReporter != sibling;
    m_unreachableReporter = sibling;
    m_unreachableReportedAt = now;
    if (!isConfirmed)
        return;
    m_pausedUntil = std::max(m_pausedUntil, now + pause);
    m_failedContacts = std::max(m_failedContacts, 1U);
}

std::uint64_t Upstream::weights(const std::string &model) const
{
    const auto it = m_report.weights.find(model);
    return it == m_report.weights.end() ? 0 : it->second;
}

void Upstream::noteWeights(const std::string &model, std::uint64_t version)
{
    auto &known = m_report.weights[model];
    if (version <= known)
        return;
    known = version;
    m_prefixCache.clear();
}

} // namespace Gateway
