#include <LibGateway/PoisonTable.h>

#include <algorithm>

namespace Gateway {

namespace {

using namespace std::chrono_literals;

constexpr auto RetentionTime = 60s;
constexpr auto JudgementInterval = 100ms;
constexpr auto UsualReportDelay = 500ms;
constexpr auto MaxReportDelay = 1'300ms;
constexpr auto WithdrawalTime = 30s;
constexpr auto ConvictionTime = 60s;
constexpr unsigned MaxConvictionFactor = 16;
constexpr unsigned KeptConvictionTimes = 10;
constexpr auto TrialInterval = 10s;
constexpr auto MaxDrift = 2s;
constexpr auto PublishInterval = 500ms;
// Most requests are in one crash and do not come again.
constexpr std::size_t MinPublishedCrashes = 2;
constexpr std::size_t MaxCauses = 64;
constexpr std::size_t MaxPublishedSuspects = 10'000;
constexpr std::size_t MaxSuspectsPerReport = 64;

std::chrono::seconds convictionTime(unsigned convictions)
{
    unsigned factor = 1;
    for (unsigned n = 1; n < convictions && factor < MaxConvictionFactor; ++n)
        factor *= 2;
    return ConvictionTime * factor;
}

bool isExpired(Core::Clock::Monotonic until, unsigned convictions, Core::Clock::Monotonic now)
{
    return now >= until + convictionTime(convictions) * (KeptConvictionTimes - 1);
}

bool isRequest(std::uint64_t suspect, const CrashEvidence::Crashes &crashes)
{
    return crashes.front()->suspects.at(suspect).isRequest;
}

} // namespace

void PoisonTable::noteCasualty(const Casualty &casualty, Core::Clock::Monotonic now)
{
    if (evidenceOf(!casualty.parts.empty()).noteCasualty(casualty, now)) {
        m_lastCasualty = std::max(m_lastCasualty, now);
        m_isUndecided = true;
        renew(casualty, now);
    }
    judgeIfDue(now);
}

void PoisonTable::renew(const Casualty &casualty, Core::Clock::Monotonic now)
{
    if (m_poison.empty())
        return;
    const auto active = activeCauses(now);
    // The requests of a suspect that is tried again may be lost in another cause's crash.
    const bool isExplained = evidenceOf(!casualty.parts.empty()).hasCause(casualty, active);
    auto suspects = casualty.parts;
    suspects.push_back(casualty.request);
    for (const auto suspect : suspects) {
        const auto it = m_poison.find(suspect);
        if (it == m_poison.end() || (isExplained && !active.contains(suspect)))
            continue;
        auto &conviction = it->second;
        if (now >= conviction.until)
            ++conviction.convictions;
        conviction.lastCasualty = now;
        conviction.until = std::max(conviction.until, now + convictionTime(conviction.convictions));
    }
}

PoisonEvidence::Causes PoisonTable::knownCauses() const
{
    PoisonEvidence::Causes causes;
    for (const auto &[cause, conviction] : m_poison)
        causes.insert(cause);
    return causes;
}

PoisonEvidence::Causes PoisonTable::activeCauses(Core::Clock::Monotonic now) const
{
    PoisonEvidence::Causes causes;
    for (const auto &[cause, conviction] : m_poison) {
        if (now < conviction.until)
            causes.insert(cause);
    }
    return causes;
}

void PoisonTable::noteAnswered(std::span<const std::uint64_t> suspects, Core::Clock::Monotonic now)
{
    const auto begin = now - PoisonEvidence::AnswerTime;
    const bool hasParts = suspects.size() > 1;
    evidenceOf(hasParts).noteAnswered(suspects, now);
    for (const auto suspect : suspects) {
        // An answer without a success names no parts, though the request may have them.
        auto &other = evidenceOf(!hasParts);
        if (other.suspects().contains(suspect))
            other.noteAnswer(suspect, begin);
        acquitAnswered(suspect, begin);
    }
    judgeIfDue(now);
}

void PoisonTable::noteAnsweredBySibling(const AnsweredSuspect &answered, Core::Clock::Monotonic now)
{
    const auto time = now - answered.age - UsualReportDelay;
    m_prompts.noteAnswer(answered.suspect, time);
    m_plain.noteAnswer(answered.suspect, time);
    acquitAnswered(answered.suspect, time);
    judgeIfDue(now);
}

void PoisonTable::acquitAnswered(std::uint64_t suspect, Core::Clock::Monotonic time)
{
    if (m_poison.empty())
        return;
    const auto it = m_poison.find(suspect);
    if (it != m_poison.end() && time > it->second.lastCasualty)
        acquit(suspect);
}

void PoisonTable::acquit(std::uint64_t cause)
{
    m_poison.erase(cause);
    if (onAcquitted)
        onAcquitted(cause);
}

void PoisonTable::notePoison(const PoisonCause &poison, Core::Clock::Monotonic now)
{
    removeExpired(now);
    const auto length = convictionTime(poison.convictions);
    const auto until = now + std::min<Core::Clock::Monotonic::duration>(poison.remaining, length);
    // What one instance has forgotten does not come back from one that forgets it a little later.
    if (isExpired(until, poison.convictions, now + MaxDrift))
        return;
    const auto lastAnswer =
        std::max(m_prompts.lastAnswer(poison.cause), m_plain.lastAnswer(poison.cause));
    if (lastAnswer && *lastAnswer + MaxReportDelay >= until - length)
        return;
    const auto it = m_poison.find(poison.cause);
    if (it == m_poison.end()) {
        if (isExplained(poison.cause))
            return;
        makeRoom();
        m_poison[poison.cause] = {now, until - length, until, {}, poison.convictions};
        return;
    }
    // Instances would otherwise extend each other's convictions by the delay of their reports.
    auto &own = it->second;
    if (poison.convictions < own.convictions
        || (poison.convictions == own.convictions && until <= own.until + MaxDrift))
        return;
    own.convictions = poison.convictions;
    own.until = std::max(own.until, until);
    own.lastCasualty = std::max(own.lastCasualty, until - length);
}

std::optional<std::uint64_t> PoisonTable::findPoison(std::span<const std::uint64_t> suspects,
                                                     Core::Clock::Monotonic now) const
{
    if (m_poison.empty())
        return std::nullopt;
    std::optional<std::uint64_t> result;
    Core::Clock::Monotonic latest;
    for (const auto suspect : suspects) {
        const auto it = m_poison.find(suspect);
        if (it == m_poison.end() || isExpired(it->second.until, it->second.convictions, now))
            continue;
        if (result && it->second.until <= latest)
            continue;
        result = suspect;
        latest = it->second.until;
    }
    return result;
}

bool PoisonTable::mayTry(std::uint64_t cause, Core::Clock::Monotonic now)
{
    const auto it = m_poison.find(cause);
    if (it == m_poison.end())
        return true;
    if (now < it->second.until || now < it->second.nextTrial)
        return false;
    it->second.nextTrial = now + TrialInterval;
    return true;
}

std::vector<AnsweredSuspect> PoisonTable::takeAnsweredSuspects(Core::Clock::Monotonic now)
{
    judgeIfDue(now);
    removeExpired(now);
    if (now - m_lastCasualty >= RetentionTime
        || (!m_prompts.hasCrashes() && !m_plain.hasCrashes())) {
        m_published.clear();
        return {};
    }
    if (m_published.size() > MaxPublishedSuspects)
        m_published.clear();
    std::vector<std::pair<std::size_t, AnsweredSuspect>> news;
    for (const auto *evidence : {&m_prompts, &m_plain}) {
        for (const auto &[suspect, crashes] : evidence->suspects()) {
            if (crashes.size() < MinPublishedCrashes && isRequest(suspect, crashes))
                continue;
            const auto answer = evidence->recentAnswer(suspect, now);
            if (!answer || !isNews(suspect, *answer, crashes))
                continue;
            const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - *answer);
            news.emplace_back(crashes.size(), AnsweredSuspect {suspect, age});
        }
    }
    // Those in most crashes are closest to a conviction.
    std::sort(news.begin(), news.end(), [](const auto &left, const auto &right) {
        return std::pair(left.first, left.second.suspect)
               > std::pair(right.first, right.second.suspect);
    });
    std::vector<AnsweredSuspect> result;
    for (std::size_t n = 0; n < std::min(news.size(), MaxSuspectsPerReport); ++n) {
        const auto &item = result.emplace_back(news[n].second);
        m_published[item.suspect] = now - item.age;
    }
    return result;
}

bool PoisonTable::isNews(std::uint64_t suspect, Core::Clock::Monotonic answer,
                         const CrashEvidence::Crashes &crashes) const
{
    const auto it = m_published.find(suspect);
    if (it == m_published.end())
        return true;
    // A sibling may have learned of the crash later.
    return it->second < crashes.back()->time + MaxReportDelay
           && answer >= it->second + PublishInterval;
}

std::vector<PoisonCause> PoisonTable::causes(Core::Clock::Monotonic now) const
{
    std::vector<PoisonCause> result;
    for (const auto &[cause, conviction] : m_poison) {
        if (isExpired(conviction.until, conviction.convictions, now))
            continue;
        const auto remaining =
            std::chrono::duration_cast<std::chrono::milliseconds>(conviction.until - now);
        result.push_back({cause, remaining, conviction.convictions});
    }
    return result;
}

void PoisonTable::judgeIfDue(Core::Clock::Monotonic now)
{
    if (!m_isUndecided || now < m_nextJudgement)
        return;
    m_nextJudgement = now + JudgementInterval;
    m_isUndecided = now - m_lastCasualty < PoisonEvidence::SettlingTime + MaxReportDelay;
    removeExpired(now);
    judge(m_prompts, now);
    judge(m_plain, now);
    withdrawExplained(now);
}

void PoisonTable::judge(const PoisonEvidence &evidence, Core::Clock::Monotonic now)
{
    for (std::size_t n = 0; n < MaxCauses; ++n) {
        const auto charge = evidence.strongestCharge(knownCauses(), now);
        if (!charge)
            break;
        convict(*charge, now);
    }
}

void PoisonTable::convict(const PoisonEvidence::Charge &charge, Core::Clock::Monotonic now)
{
    makeRoom();
    m_poison[charge.suspect] = {now, charge.lastCrash, charge.lastCrash + ConvictionTime, {}, 1};
    if (onPoison)
        onPoison(charge);
}

bool PoisonTable::isExplained(std::uint64_t suspect) const
{
    const auto causes = knownCauses();
    return m_prompts.isExplained(suspect, causes) || m_plain.isExplained(suspect, causes);
}

void PoisonTable::withdrawExplained(Core::Clock::Monotonic now)
{
    std::vector<std::uint64_t> withdrawn;
    for (const auto &[suspect, conviction] : m_poison) {
        if (now - conviction.since < WithdrawalTime && isExplained(suspect))
            withdrawn.push_back(suspect);
    }
    for (const auto suspect : withdrawn)
        acquit(suspect);
}

void PoisonTable::removeExpired(Core::Clock::Monotonic now)
{
    std::vector<std::uint64_t> expired;
    for (const auto &[cause, conviction] : m_poison) {
        if (isExpired(conviction.until, conviction.convictions, now))
            expired.push_back(cause);
    }
    for (const auto cause : expired)
        acquit(cause);
}

void PoisonTable::makeRoom()
{
    if (m_poison.size() < MaxCauses)
        return;
    const auto oldest =
        std::min_element(m_poison.begin(), m_poison.end(), [](const auto &a, const auto &b) {
            return a.second.lastCasualty < b.second.lastCasualty;
        });
    acquit(oldest->first);
}

} // namespace Gateway
