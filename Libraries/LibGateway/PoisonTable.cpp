#include <LibGateway/PoisonTable.h>

#include <algorithm>
#include <tuple>

namespace Gateway {

namespace {

using namespace std::chrono_literals;

constexpr auto RetentionTime = 60s;
// Engines that fail together do so within this time, including the delay of the reports.
constexpr auto MomentLength = 400ms;
// Evidence of a crash and answers that disprove it arrive within this time.
constexpr auto SettlingTime = 800ms;
// An answer is reported this long after the engine began it, which is when it would have crashed.
constexpr auto AnswerTime = 500ms;
constexpr auto JudgementInterval = 100ms;
constexpr auto UsualReportDelay = 500ms;
constexpr auto MaxReportDelay = 1'300ms;
// Popular parts were answered within this time after a start.
constexpr auto LearningTime = 5s;
constexpr unsigned MinMoments = 3;
constexpr unsigned MinRequests = 2;
constexpr double MaxChance = 0.1;
constexpr unsigned MinCrashesQuick = 5;
// For parts that were sound, and for those that may have been as far as this instance knows.
constexpr double MaxChanceStrict = 0.01;
constexpr unsigned MinCrashesCommon = 8;
constexpr unsigned MinRequestsCommon = 6;
constexpr double MaxChanceCommon = 1;
constexpr double CommonShare = 0.1;
constexpr double CommonCrashShare = 0.85;
// Each takes some milliseconds when there is much evidence.
constexpr std::size_t MaxRarityChecks = 8;
constexpr auto WithdrawalTime = 30s;
constexpr auto ConvictionTime = 60s;
constexpr unsigned MaxConvictionFactor = 16;
constexpr unsigned KeptConvictionTimes = 10;
constexpr auto TrialInterval = 10s;
constexpr auto MaxDrift = 2s;
constexpr auto PublishInterval = 500ms;
constexpr std::size_t MaxPoisonParts = 64;
constexpr std::size_t MaxPublishedParts = 10'000;
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

bool anyCrash(const UpstreamCrash &)
{
    return true;
}

bool containsAny(const UpstreamCrash &crash, const std::vector<std::uint64_t> &parts)
{
    return std::any_of(parts.begin(), parts.end(),
                       [&crash](std::uint64_t part) { return crash.parts.contains(part); });
}

} // namespace

void PoisonTable::noteCasualty(const Casualty &casualty, Core::Clock::Monotonic now)
{
    if (m_evidence.note(casualty, now)) {
        m_lastCasualty = std::max(m_lastCasualty, now);
        m_isUndecided = true;
        renew(casualty, now);
    }
    judgeIfDue(now);
}

void PoisonTable::renew(const Casualty &casualty, Core::Clock::Monotonic now)
{
    const auto isActive = [&](std::uint64_t part) {
        const auto it = m_poison.find(part);
        return it != m_poison.end() && now < it->second.until;
    };
    // The prompts of a part that is tried again may be lost in another part's crash.
    const auto &crash =
        *std::find_if(m_evidence.crashes().rbegin(), m_evidence.crashes().rend(),
                      [&casualty](const UpstreamCrash &item) { return item.id == casualty.crash; });
    const bool isExplained =
        std::any_of(crash.parts.begin(), crash.parts.end(),
                    [&isActive](const auto &item) { return isActive(item.first); });
    for (const auto part : casualty.parts) {
        const auto it = m_poison.find(part);
        if (it == m_poison.end() || (isExplained && !isActive(part)))
            continue;
        auto &conviction = it->second;
        if (now >= conviction.until)
            ++conviction.convictions;
        conviction.lastCasualty = now;
        conviction.until = std::max(conviction.until, now + convictionTime(conviction.convictions));
    }
}

void PoisonTable::noteAnswered(std::span<const std::uint64_t> parts, Core::Clock::Monotonic now)
{
    if (!m_firstAnswer)
        m_firstAnswer = now;
    // As old as the answers of the parts; otherwise they would count as answers without them.
    const auto begin = now - AnswerTime;
    if (m_answerCounts.empty() || begin - m_answerCounts.back().first >= JudgementInterval)
        m_answerCounts.emplace_back(begin, 0);
    ++m_answerCounts.back().second;
    while (now - m_answerCounts.front().first >= RetentionTime)
        m_answerCounts.pop_front();
    m_answered.noteOwn(parts, now - AnswerTime);
    for (const auto part : parts)
        noteAnswer(part, now - AnswerTime);
    judgeIfDue(now);
}

void PoisonTable::noteAnsweredBySibling(const AnsweredSuspect &answered, Core::Clock::Monotonic now)
{
    noteAnswer(answered.suspect, now - answered.age - UsualReportDelay);
    judgeIfDue(now);
}

void PoisonTable::noteAnswer(std::uint64_t part, Core::Clock::Monotonic time)
{
    m_answered.note(part, time);
    m_lastAnswer = std::max(m_lastAnswer, time);
    if (m_poison.empty())
        return;
    const auto it = m_poison.find(part);
    if (it != m_poison.end() && time > it->second.lastCasualty)
        acquit(part);
}

void PoisonTable::acquit(std::uint64_t part)
{
    m_poison.erase(part);
    if (onAcquitted)
        onAcquitted(part);
}

std::optional<Core::Clock::Monotonic> PoisonTable::recentAnswer(std::uint64_t part,
                                                                Core::Clock::Monotonic now) const
{
    const auto time = m_answered.lastAnswer(part);
    return time && now - *time < RetentionTime ? time : std::nullopt;
}

void PoisonTable::notePoison(const PoisonCause &poison, Core::Clock::Monotonic now)
{
    removeExpired(now);
    const auto length = convictionTime(poison.convictions);
    const auto until = now + std::min<Core::Clock::Monotonic::duration>(poison.remaining, length);
    // What one instance has forgotten does not come back from one that forgets it a little later.
    if (isExpired(until, poison.convictions, now + MaxDrift))
        return;
    const auto lastAnswer = m_answered.lastAnswer(poison.cause);
    if (lastAnswer && *lastAnswer + MaxReportDelay >= until - length)
        return;
    const auto it = m_poison.find(poison.cause);
    if (it == m_poison.end()) {
        if (isExplained(poison.cause, m_evidence.suspects()))
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

std::optional<std::uint64_t> PoisonTable::findPoison(std::span<const std::uint64_t> parts,
                                                     Core::Clock::Monotonic now) const
{
    if (m_poison.empty())
        return std::nullopt;
    std::optional<std::uint64_t> result;
    Core::Clock::Monotonic latest;
    for (const auto part : parts) {
        const auto it = m_poison.find(part);
        if (it == m_poison.end() || isExpired(it->second.until, it->second.convictions, now))
            continue;
        if (result && it->second.until <= latest)
            continue;
        result = part;
        latest = it->second.until;
    }
    return result;
}

bool PoisonTable::mayTry(std::uint64_t part, Core::Clock::Monotonic now)
{
    const auto it = m_poison.find(part);
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
    if (now - m_lastCasualty >= RetentionTime || m_evidence.crashes().empty()) {
        m_published.clear();
        return {};
    }
    if (m_published.size() > MaxPublishedParts)
        m_published.clear();
    std::vector<std::pair<std::size_t, AnsweredSuspect>> news;
    for (const auto &[part, crashes] : m_evidence.suspects()) {
        const auto answer = recentAnswer(part, now);
        if (answer && isNews(part, *answer, crashes)) {
            const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - *answer);
            news.emplace_back(crashes.size(), AnsweredSuspect {part, age});
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

bool PoisonTable::isNews(std::uint64_t part, Core::Clock::Monotonic answer,
                         const CrashEvidence::Crashes &crashes) const
{
    const auto it = m_published.find(part);
    if (it == m_published.end())
        return true;
    // A sibling may have learned of the crash later.
    return it->second < crashes.back()->time + MaxReportDelay
           && answer >= it->second + PublishInterval;
}

std::vector<PoisonCause> PoisonTable::causes(Core::Clock::Monotonic now) const
{
    std::vector<PoisonCause> result;
    for (const auto &[part, conviction] : m_poison) {
        if (isExpired(conviction.until, conviction.convictions, now))
            continue;
        const auto remaining =
            std::chrono::duration_cast<std::chrono::milliseconds>(conviction.until - now);
        result.push_back({part, remaining, conviction.convictions});
    }
    return result;
}

void PoisonTable::judgeIfDue(Core::Clock::Monotonic now)
{
    if (!m_isUndecided || now < m_nextJudgement)
        return;
    m_nextJudgement = now + JudgementInterval;
    m_isUndecided = now - m_lastCasualty < SettlingTime + MaxReportDelay;
    removeExpired(now);
    judge(now);
}

void PoisonTable::judge(Core::Clock::Monotonic now)
{
    const auto &suspects = m_evidence.suspects();
    for (std::size_t n = 0; n < MaxPoisonParts; ++n) {
        const auto charge = strongestCharge(suspects, now);
        if (!charge)
            break;
        convict(*charge, now);
    }
    withdrawExplained(suspects, now);
}

std::optional<PoisonTable::Charge> PoisonTable::strongestCharge(const Suspects &suspects,
                                                                Core::Clock::Monotonic now) const
{
    std::vector<Charge> proven;
    for (const auto &[part, crashes] : suspects) {
        if (crashes.size() < MinMoments || m_poison.contains(part))
            continue;
        const auto total = charge(part, crashes, anyCrash);
        if (!total.isSeveralTimes())
            continue;
        const auto others = explanations(total, suspects);
        const auto isOpen = [&](const UpstreamCrash &crash) {
            return now - crash.time >= SettlingTime && !containsAny(crash, others);
        };
        auto open = charge(part, crashes, isOpen);
        if (!open.isSeveralTimes())
            continue;
        addRequests(open, crashes, isOpen);
        open.others = others;
        open.proof = proof(open, suspects, now);
        if (open.proof != Proof::None)
            proven.push_back(open);
    }
    unsigned most = 0;
    for (const auto &item : proven)
        most = std::max(most, item.moments);
    // A popular sound part shares all crashes of a poison part, and others, but was answered later.
    std::erase_if(proven, [most](const Charge &item) { return item.moments * 3 < most * 2; });
    const auto rank = [](const Charge &item) {
        const auto answer = item.lastAnswer.value_or(Core::Clock::Monotonic::min());
        return std::tuple(-answer.time_since_epoch(), item.moments, item.requests, item.depth,
                          item.part);
    };
    std::sort(proven.begin(), proven.end(), [&rank](const Charge &left, const Charge &right) {
        return rank(left) > rank(right);
    });
    std::size_t checks = 0;
    for (const auto &item : proven) {
        if (item.proof == Proof::Certain
            || (++checks <= MaxRarityChecks && !hasRarerSuspect(item, suspects, now)))
            return item;
    }
    return std::nullopt;
}

bool PoisonTable::Charge::isSeveralTimes() const
{
    return moments >= MinMoments || (moments >= 2 && crashes >= MinCrashesQuick);
}

PoisonTable::Charge PoisonTable::charge(std::uint64_t part, const CrashEvidence::Crashes &crashes,
                                        const Counts &counts) const
{
    Charge result;
    result.part = part;
    result.lastAnswer = m_answered.lastAnswer(part);
    Core::Clock::Monotonic moment;
    for (const auto *crash : crashes) {
        if ((result.lastAnswer && crash->time <= *result.lastAnswer) || !counts(*crash))
            continue;
        if (!result.crashes++)
            result.firstCrash = crash->time;
        result.lastCrash = crash->time;
        if (!result.moments || crash->time - moment >= MomentLength) {
            ++result.moments;
            moment = crash->time;
        }
    }
    return result;
}

void PoisonTable::addRequests(Charge &charge, const CrashEvidence::Crashes &crashes,
                              const Counts &counts) const
{
    std::vector<std::uint64_t> requests;
    for (const auto *crash : crashes) {
        if ((charge.lastAnswer && crash->time <= *charge.lastAnswer) || !counts(*crash))
            continue;
        const auto &item = crash->parts.at(charge.part);
        requests.insert(requests.end(), item.requests.begin(), item.requests.end());
        charge.depth = std::max(charge.depth, item.depth);
    }
    std::sort(requests.begin(), requests.end());
    const auto end = std::unique(requests.begin(), requests.end());
    charge.requests = static_cast<unsigned>(end - requests.begin());
}

PoisonTable::Proof PoisonTable::proof(const Charge &charge, const Suspects &suspects,
                                      Core::Clock::Monotonic now) const
{
    if (charge.requests < MinRequests)
        return Proof::None;
    const auto odds = this->odds(charge, suspects, now);
    const bool hasLearned = m_firstAnswer && now - *m_firstAnswer >= LearningTime;
    const bool mayBeSound = recentAnswer(charge.part, now) || !hasLearned;
    if (odds.chance <= (mayBeSound ? MaxChanceStrict : MaxChance))
        return Proof::Certain;
    const bool isUnlikely = odds.chance <= MaxChanceCommon;
    if (odds.crashShare < CommonCrashShare || charge.requests < MinRequestsCommon
        || (odds.promptShare < CommonShare && !isUnlikely))
        return Proof::None;
    // Chance explains little about parts in many prompts, but those are also answered all the time.
    if (!mayBeSound)
        return charge.crashes >= MinCrashesQuick ? Proof::Certain : Proof::None;
    const bool isOnlyUnanswered = m_lastAnswer >= charge.firstCrash + MaxReportDelay;
    const bool isOutstanding = isOnlyUnanswered && charge.crashes >= MinCrashesCommon
                               && (isUnlikely || charge.moments >= MinMoments);
    return isOutstanding ? Proof::UnlessRarer : Proof::None;
}

bool PoisonTable::hasRarerSuspect(const Charge &charge, const Suspects &suspects,
                                  Core::Clock::Monotonic now) const
{
    const auto isCounted = [&](const UpstreamCrash &crash) {
        return crash.time >= charge.firstCrash && now - crash.time >= SettlingTime
               && crash.parts.contains(charge.part);
    };
    const auto count = [&](std::uint64_t part, const CrashEvidence::Crashes &crashes) {
        std::pair<std::size_t, std::size_t> result;
        for (const auto *crash : crashes) {
            if (!isCounted(*crash))
                continue;
            ++result.first;
            result.second += crash->parts.at(part).requests.size();
        }
        return result;
    };
    const auto own = count(charge.part, suspects.at(charge.part));
    return std::any_of(suspects.begin(), suspects.end(), [&](const auto &item) {
        if (item.second.size() * 5 < own.first * 4)
            return false;
        const auto other = count(item.first, item.second);
        return other.first * 5 >= own.first * 4 && other.second * 2 <= own.second;
    });
}

CrashOdds PoisonTable::odds(const Charge &charge, const Suspects &suspects,
                            Core::Clock::Monotonic now) const
{
    CrashEvidence::Crashes crashes;
    for (const auto &crash : m_evidence.crashes()) {
        if (crash.time >= charge.firstCrash && now - crash.time >= SettlingTime
            && !containsAny(crash, charge.others))
            crashes.push_back(&crash);
    }
    double answers = 0;
    for (const auto &[time, count] : m_answerCounts) {
        if (time > charge.firstCrash && now - time >= MaxReportDelay)
            answers += count;
    }
    return crashOdds(charge.part, crashes, suspects.size(), answers, m_answered.share(charge.part));
}

std::vector<std::uint64_t> PoisonTable::explanations(const Charge &charge,
                                                     const Suspects &suspects) const
{
    std::vector<std::uint64_t> result;
    for (const auto &[other, conviction] : m_poison) {
        const auto it = suspects.find(other);
        if (other == charge.part || it == suspects.end())
            continue;
        const auto total = this->charge(other, it->second, anyCrash);
        const bool isStronger = total.crashes > charge.crashes;
        // A part without an answer compares as the one that was answered first.
        const bool isEqual =
            total.crashes == charge.crashes || total.lastAnswer < charge.lastAnswer;
        const bool isComparable = total.crashes * 3 >= charge.crashes * 2;
        if (isStronger || (isEqual && isComparable && !m_poison.contains(charge.part)))
            result.push_back(other);
    }
    return result;
}

void PoisonTable::convict(const Charge &charge, Core::Clock::Monotonic now)
{
    makeRoom();
    m_poison[charge.part] = {now, charge.lastCrash, charge.lastCrash + ConvictionTime, {}, 1};
    if (onPoison)
        onPoison(charge.part, charge.crashes, charge.requests);
}

bool PoisonTable::isExplained(std::uint64_t part, const Suspects &suspects) const
{
    const auto it = suspects.find(part);
    if (it == suspects.end())
        return false;
    const auto total = charge(part, it->second, anyCrash);
    const auto others = explanations(total, suspects);
    const auto open = charge(part, it->second, [&others](const UpstreamCrash &crash) {
        return !containsAny(crash, others);
    });
    return open.crashes < total.crashes && open.moments < MinMoments;
}

void PoisonTable::withdrawExplained(const Suspects &suspects, Core::Clock::Monotonic now)
{
    std::vector<std::uint64_t> withdrawn;
    for (const auto &[part, conviction] : m_poison) {
        if (now - conviction.since < WithdrawalTime && isExplained(part, suspects))
            withdrawn.push_back(part);
    }
    for (const auto part : withdrawn)
        acquit(part);
}

void PoisonTable::removeExpired(Core::Clock::Monotonic now)
{
    std::vector<std::uint64_t> expired;
    for (const auto &[part, conviction] : m_poison) {
        if (isExpired(conviction.until, conviction.convictions, now))
            expired.push_back(part);
    }
    for (const auto part : expired)
        acquit(part);
}

void PoisonTable::makeRoom()
{
    if (m_poison.size() < MaxPoisonParts)
        return;
    const auto oldest =
        std::min_element(m_poison.begin(), m_poison.end(), [](const auto &a, const auto &b) {
            return a.second.lastCasualty < b.second.lastCasualty;
        });
    acquit(oldest->first);
}

} // namespace Gateway
