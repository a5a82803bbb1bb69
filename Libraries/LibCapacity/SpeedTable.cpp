#include <LibCapacity/SpeedTable.h>

#include <algorithm>
#include <cmath>

namespace Capacity {

namespace {

// The ratio of the ninth to the first decile of the speeds at which a service becomes uneven, and
// below which it is even again.
constexpr double UnevenRatio = 1.4;
constexpr double EvenRatio = 1.25;
constexpr std::size_t MinEngines = 4;
// How long the ratio has to persist until the service becomes uneven. With 3 s, the first estimates
// of a uniform service with slow phases were taken for uneven engines.
constexpr Milliseconds UnevenTime {5'000};
constexpr double Decile = 0.1;
// Estimates with fewer samples do not count for the deciles and the median. With 3, a few slow
// phases at the start make a uniform service look uneven.
constexpr double MinWeight = 8;
// An estimate with this weight counts half, the rest being the median speed.
constexpr double HalfConfidenceWeight = 1;
// A sender whose samples deviate by more than this factor from those of the others has a reduced
// weight. Its notes of first tokens may be late.
constexpr double MaxSenderDeviation = 1.3;
constexpr unsigned MinSenderSamples = 3;
constexpr unsigned MinOtherSenders = 2;
constexpr double SenderGain = 0.2;
constexpr double MaxSampleDeviation = 1.5;
constexpr double DistrustedWeight = 0.2;
constexpr std::size_t MaxSenders = 512;
// With fewer engines, an instance can't tell a delay of its own from slow engines.
constexpr std::size_t MinKeptEngines = 4;
constexpr double KeeperRatio = 1.25;
// The changes of an estimate that operators are told of.
constexpr double AnnouncedRise = 4.0 / 3;
constexpr double AnnouncedFall = 2.0 / 3;

/// Returns a quantile of sorted values.
double quantile(const std::vector<double> &sorted, double share)
{
    return sorted[static_cast<std::size_t>(
        std::lround(share * static_cast<double>(sorted.size() - 1)))];
}

} // namespace

double SpeedTable::trustIn(std::uint64_t sender, double deviation, Monotonic now)
{
    if (!m_senders.contains(sender) && m_senders.size() >= MaxSenders)
        std::erase_if(m_senders, [now](const auto &item) {
            return now - item.second.lastSample > SpeedEstimate::FreshAge;
        });
    if (!m_senders.contains(sender) && m_senders.size() >= MaxSenders)
        return 1;
    auto &state = m_senders[sender];
    const double limit = std::log(MaxSampleDeviation);
    state.deviation += SenderGain * (std::clamp(deviation, -limit, limit) - state.deviation);
    state.lastSample = now;
    ++state.samples;
    // After a change of an engine, the samples of all senders deviate.
    double others = 0;
    unsigned count = 0;
    for (const auto &[number, other] : m_senders) {
        if (number == sender || now - other.lastSample > SpeedEstimate::FreshAge)
            continue;
        others += other.deviation;
        ++count;
    }
    if (state.samples < MinSenderSamples || count < MinOtherSenders)
        return 1;
    const bool isDistrusted =
        std::abs(state.deviation - others / count) > std::log(MaxSenderDeviation);
    return isDistrusted ? DistrustedWeight : 1;
}

void SpeedTable::addSample(const Sample &sample, Monotonic now)
{
    if (sample.tokens == 0)
        return;
    auto &entry = m_entries[sample.upstream];
    const Milliseconds reference(static_cast<double>(sample.tokens) / ReferenceRate);
    const auto usual = reference / entry.estimate.speed();
    m_overhead.addSample(usual, sample.time);
    // Until the fixed time is known, engines that get shorter prompts would look slower.
    if (!m_overhead.isReady())
        return;
    const auto prefill = std::max(sample.time - overhead(), Milliseconds(1));
    const double trust =
        entry.estimate.isKnown() ? trustIn(sample.sender, std::log(usual / prefill), now) : 1;
    entry.estimate.addSample(reference, prefill, trust, now);
    entry.origin = Origin::Own;
}

void SpeedTable::noteReport(const Report &report, Origin origin, Monotonic now)
{
    if (report.age >= SpeedEstimate::MaxAge || report.speed <= 0 || report.samples <= 0)
        return;
    const auto lastSample = now - std::chrono::duration_cast<Monotonic::duration>(report.age);
    auto &entry = m_entries[report.upstream];
    if (entry.estimate.isKnown() && lastSample <= entry.estimate.lastSample())
        return;
    entry.estimate.set(report.speed, report.samples, lastSample);
    entry.origin = origin;
    entry.announcedSpeed = 0;
}

void SpeedTable::removeUnless(const std::function<bool(std::uint64_t)> &isListed)
{
    std::erase_if(m_entries, [&isListed](const auto &item) { return !isListed(item.first); });
}

std::vector<SpeedTable::Report> SpeedTable::reports(Origin origin, Monotonic now) const
{
    std::vector<Report> reports;
    for (const auto &[upstream, entry] : m_entries) {
        const Milliseconds age = now - entry.estimate.lastSample();
        if (entry.origin != origin || !entry.estimate.isKnown() || age >= SpeedEstimate::MaxAge)
            continue;
        const double factor = origin == Origin::Own ? m_keeperFactor : 1;
        reports.push_back(
            {upstream, factor * entry.estimate.speed(), entry.estimate.samples(), age});
    }
    return reports;
}

double SpeedTable::keeperFactor(Monotonic now) const
{
    std::vector<double> own;
    std::vector<double> others;
    for (const auto &[upstream, entry] : m_entries) {
        if (entry.estimate.weight(now) >= MinWeight)
            (entry.origin == Origin::Own ? own : others).push_back(entry.estimate.speed());
    }
    if (own.size() < MinKeptEngines || others.size() < MinEngines)
        return 1;
    std::sort(own.begin(), own.end());
    std::sort(others.begin(), others.end());
    const double ratio = quantile(others, 0.5) / quantile(own, 0.5);
    const bool isUniform = own.back() <= KeeperRatio * own.front();
    // If others measure such speeds too, the engines are slow.
    const bool isAlone = own.back() < quantile(others, Decile);
    return isUniform && isAlone && ratio >= KeeperRatio ? ratio : 1;
}

void SpeedTable::refresh(Monotonic now)
{
    m_keeperFactor = keeperFactor(now);
    const auto speedOf = [this](const Entry &entry) {
        return entry.estimate.speed() * (entry.origin == Origin::Own ? m_keeperFactor : 1);
    };
    std::vector<double> speeds;
    for (const auto &[upstream, entry] : m_entries) {
        if (entry.estimate.weight(now) >= MinWeight)
            speeds.push_back(speedOf(entry));
    }
    updateUneven(std::move(speeds), now);
    for (auto &[upstream, entry] : m_entries) {
        const double weight = entry.estimate.weight(now);
        const double confidence = weight / (weight + HalfConfidenceWeight);
        entry.relativeSpeed = std::pow(speedOf(entry) / m_median, confidence);
        announce(upstream, entry, weight);
    }
}

void SpeedTable::updateUneven(std::vector<double> speeds, Monotonic now)
{
    std::sort(speeds.begin(), speeds.end());
    double ratio = 1;
    if (!speeds.empty())
        m_median = quantile(speeds, 0.5);
    if (speeds.size() >= MinEngines)
        ratio = quantile(speeds, 1 - Decile) / quantile(speeds, Decile);
    if (ratio < UnevenRatio)
        m_unevenSince.reset();
    else if (!m_unevenSince)
        m_unevenSince = now;
    m_isUneven =
        m_isUneven ? ratio >= EvenRatio : m_unevenSince && now - *m_unevenSince >= UnevenTime;
}

void SpeedTable::announce(std::uint64_t upstream, Entry &entry, double weight) const
{
    if (entry.origin != Origin::Own || weight < MinWeight)
        return;
    const double speed = entry.estimate.speed();
    const double before = entry.announcedSpeed;
    if (before > 0 && speed < AnnouncedRise * before && speed > AnnouncedFall * before)
        return;
    entry.announcedSpeed = speed;
    if (before > 0 && onSpeedChanged)
        onSpeedChanged(upstream, before / m_median, speed / m_median);
}

double SpeedTable::relativeSpeed(std::uint64_t upstream) const
{
    const auto it = m_entries.find(upstream);
    return it == m_entries.end() ? 1 : it->second.relativeSpeed;
}

} // namespace Capacity
