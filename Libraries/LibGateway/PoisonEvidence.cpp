#include <LibGateway/PoisonEvidence.h>

#include <algorithm>
#include <tuple>
#include <unordered_map>

namespace Gateway {

namespace {

using namespace std::chrono_literals;

constexpr auto RetentionTime = 60s;
constexpr auto CountInterval = 100ms;
// Upstreams that fail together do so within this time, including the delay of the reports.
constexpr auto MomentLength = 400ms;
constexpr auto MaxReportDelay = 1'300ms;
// Popular suspects were answered within this time after a start.
constexpr auto LearningTime = 5s;
constexpr unsigned MinMoments = 3;
constexpr unsigned MinMomentsUnbegun = 5;
constexpr unsigned MinRequests = 2;
constexpr double MaxShareOfOneRequest = 0.8;
constexpr double MaxChance = 0.1;
constexpr unsigned MinCrashesQuick = 5;
// For suspects that were sound, and for those that may have been as far as this instance knows.
constexpr double MaxChanceStrict = 0.01;
// Upstreams that fail together may do so in two moments.
constexpr double MaxChanceQuick = 0.001;
// A request that was lost is sent again at once, and lost again in crashes of the same moment.
constexpr double MaxChanceQuickOfRequest = 0.00001;
constexpr unsigned MinCrashesCommon = 8;
constexpr unsigned MinRequestsCommon = 6;
constexpr double MaxChanceCommon = 1;
constexpr double CommonShare = 0.1;
constexpr double CommonCrashShare = 0.85;
// Each takes some milliseconds when there is much evidence.
constexpr std::size_t MaxRarityChecks = 8;

bool anyCrash(const UpstreamCrash &)
{
    return true;
}

template <typename Causes>
bool containsAny(const UpstreamCrash &crash, const Causes &causes)
{
    return std::any_of(causes.begin(), causes.end(),
                       [&crash](std::uint64_t cause) { return crash.suspects.contains(cause); });
}

} // namespace

bool PoisonEvidence::noteCasualty(const Casualty &casualty, Core::Clock::Monotonic now)
{
    m_begun.note(casualty, now);
    return m_all.note(casualty, now);
}

void PoisonEvidence::noteAnswered(std::span<const std::uint64_t> suspects,
                                  Core::Clock::Monotonic now)
{
    if (!m_firstAnswer)
        m_firstAnswer = now;
    // As old as the answers of the suspects; otherwise they would count as answers without them.
    const auto begin = now - AnswerTime;
    if (m_answerCounts.empty() || begin - m_answerCounts.back().first >= CountInterval)
        m_answerCounts.emplace_back(begin, 0);
    ++m_answerCounts.back().second;
    while (now - m_answerCounts.front().first >= RetentionTime)
        m_answerCounts.pop_front();
    m_answered.noteOwn(suspects, begin);
    for (const auto suspect : suspects)
        noteAnswer(suspect, begin);
}

void PoisonEvidence::noteAnswer(std::uint64_t suspect, Core::Clock::Monotonic time)
{
    m_answered.note(suspect, time);
    m_lastAnswer = std::max(m_lastAnswer, time);
}

std::optional<Core::Clock::Monotonic> PoisonEvidence::lastAnswer(std::uint64_t suspect) const
{
    return m_answered.lastAnswer(suspect);
}

std::optional<Core::Clock::Monotonic> PoisonEvidence::recentAnswer(std::uint64_t suspect,
                                                                   Core::Clock::Monotonic now) const
{
    const auto time = m_answered.lastAnswer(suspect);
    return time && now - *time < RetentionTime ? time : std::nullopt;
}

bool PoisonEvidence::hasCause(const Casualty &casualty, const Causes &causes) const
{
    const auto &crashes = m_all.crashes();
    const auto it =
        std::find_if(crashes.rbegin(), crashes.rend(),
                     [&casualty](const UpstreamCrash &item) { return item.id == casualty.crash; });
    return it != crashes.rend() && containsAny(*it, causes);
}

std::optional<PoisonEvidence::Charge>
PoisonEvidence::strongestCharge(const Causes &causes, Core::Clock::Monotonic now) const
{
    const auto found = strongestCharge(m_begun, causes, now);
    return found ? found : strongestCharge(m_all, causes, now);
}

std::optional<PoisonEvidence::Charge>
PoisonEvidence::strongestCharge(const CrashEvidence &evidence, const Causes &causes,
                                Core::Clock::Monotonic now) const
{
    auto proven = provenCharges(evidence, causes, now);
    unsigned most = 0;
    for (const auto &item : proven)
        most = std::max(most, item.charge.moments);
    // A popular sound part shares all crashes of a poison part, and others, but was answered later.
    std::erase_if(proven, [most](const auto &item) { return item.charge.moments * 3 < most * 2; });
    const auto rank = [](const ProvenCharge &item) {
        const auto &charge = item.charge;
        const auto answer = charge.lastAnswer.value_or(Core::Clock::Monotonic::min());
        // Several requests with a part in common outweigh one of them.
        return std::tuple(-answer.time_since_epoch(), charge.moments, !charge.isRequest,
                          charge.requests, charge.depth, charge.suspect);
    };
    std::sort(proven.begin(), proven.end(),
              [&rank](const auto &left, const auto &right) { return rank(left) > rank(right); });
    std::size_t checks = 0;
    for (const auto &item : proven) {
        if (item.proof == Proof::Certain
            || (++checks <= MaxRarityChecks && !hasRarerSuspect(evidence, item.charge, now)))
            return item.charge;
    }
    return std::nullopt;
}

std::vector<PoisonEvidence::ProvenCharge>
PoisonEvidence::provenCharges(const CrashEvidence &evidence, const Causes &causes,
                              Core::Clock::Monotonic now) const
{
    std::vector<ProvenCharge> proven;
    // Until then some casualties of the crash may not be known.
    const auto isSettled = [now](const UpstreamCrash &crash) {
        return now - crash.time >= SettlingTime;
    };
    for (const auto &[suspect, crashes] : evidence.suspects()) {
        if (crashes.size() < MinMoments || causes.contains(suspect))
            continue;
        const auto total = charge(suspect, crashes, isSettled);
        if (!total.isSeveralTimes())
            continue;
        const auto others = explanations(evidence, total, causes, isSettled);
        const auto isOpen = [&](const UpstreamCrash &crash) {
            return isSettled(crash) && !containsAny(crash, others);
        };
        ProvenCharge item {charge(suspect, crashes, isOpen)};
        if (!item.charge.isSeveralTimes())
            continue;
        addRequests(item.charge, crashes, isOpen);
        item.charge.others = others;
        item.proof = proof(evidence, item.charge, now);
        if (item.proof != Proof::None)
            proven.push_back(item);
    }
    return proven;
}

bool PoisonEvidence::Charge::isSeveralTimes() const
{
    return moments >= MinMoments || (moments >= 2 && crashes >= MinCrashesQuick);
}

PoisonEvidence::Charge PoisonEvidence::charge(std::uint64_t suspect,
                                              const CrashEvidence::Crashes &crashes,
                                              const Counts &counts) const
{
    Charge result;
    result.suspect = suspect;
    result.isRequest = crashes.front()->suspects.at(suspect).isRequest;
    result.lastAnswer = m_answered.lastAnswer(suspect);
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

void PoisonEvidence::addRequests(Charge &charge, const CrashEvidence::Crashes &crashes,
                                 const Counts &counts) const
{
    std::vector<std::uint64_t> requests;
    std::unordered_map<std::uint64_t, unsigned> crashesOfRequests;
    for (const auto *crash : crashes) {
        if ((charge.lastAnswer && crash->time <= *charge.lastAnswer) || !counts(*crash))
            continue;
        const auto &item = crash->suspects.at(charge.suspect);
        std::unordered_set<std::uint64_t> digests;
        for (const auto &request : item.requests) {
            requests.push_back(charge.isRequest ? request.identity : request.digest);
            if (digests.insert(request.digest).second)
                charge.crashesOfOne =
                    std::max(charge.crashesOfOne, ++crashesOfRequests[request.digest]);
        }
        charge.depth = std::max(charge.depth, item.depth);
    }
    std::sort(requests.begin(), requests.end());
    const auto end = std::unique(requests.begin(), requests.end());
    charge.requests = static_cast<unsigned>(end - requests.begin());
}

PoisonEvidence::Proof PoisonEvidence::proof(const CrashEvidence &evidence, const Charge &charge,
                                            Core::Clock::Monotonic now) const
{
    if (charge.requests < MinRequests)
        return Proof::None;
    // One request is in most crashes of the part, and rather crashes upstreams itself.
    if (!charge.isRequest && charge.crashesOfOne > MaxShareOfOneRequest * charge.crashes)
        return Proof::None;
    const auto odds = this->odds(evidence, charge, now);
    // The request that crashed an upstream before the head of its answer had left is one of all
    // that waited there, and those that are sent again are lost in crashes shortly after each
    // other.
    if (evidence.scope() == CrashEvidence::Scope::All) {
        const bool isOften = charge.isRequest ? charge.crashes >= MinCrashesQuick
                                              : charge.moments >= MinMomentsUnbegun;
        return isOften && odds.chance <= MaxChanceStrict ? Proof::Certain : Proof::None;
    }
    // Whether an instance that has just started would know popular parts. Requests that are as
    // popular show it in the crashes.
    const bool hasLearned =
        charge.isRequest || (m_firstAnswer && now - *m_firstAnswer >= LearningTime);
    const bool mayBeSound = recentAnswer(charge.suspect, now) || !hasLearned;
    auto maxChance = mayBeSound ? MaxChanceStrict : MaxChance;
    if (charge.moments < MinMoments)
        maxChance = charge.isRequest ? MaxChanceQuickOfRequest : MaxChanceQuick;
    if (odds.chance <= maxChance)
        return Proof::Certain;
    return proofOfCommon(charge, odds, mayBeSound);
}

PoisonEvidence::Proof PoisonEvidence::proofOfCommon(const Charge &charge, const CrashOdds &odds,
                                                    bool mayBeSound) const
{
    const bool isUnlikely = odds.chance <= MaxChanceCommon;
    if (odds.crashShare < CommonCrashShare || charge.requests < MinRequestsCommon
        || (odds.requestShare < CommonShare && !isUnlikely))
        return Proof::None;
    // Chance explains little about suspects in many requests, but those are also answered all the
    // time.
    if (!mayBeSound)
        return charge.crashes >= MinCrashesQuick ? Proof::Certain : Proof::None;
    const bool isOnlyUnanswered = m_lastAnswer >= charge.firstCrash + MaxReportDelay;
    const bool isOutstanding = isOnlyUnanswered && charge.crashes >= MinCrashesCommon
                               && (isUnlikely || charge.moments >= MinMoments);
    return isOutstanding ? Proof::UnlessRarer : Proof::None;
}

bool PoisonEvidence::hasRarerSuspect(const CrashEvidence &evidence, const Charge &charge,
                                     Core::Clock::Monotonic now)
{
    const auto isCounted = [&](const UpstreamCrash &crash) {
        return crash.time >= charge.firstCrash && now - crash.time >= SettlingTime
               && crash.suspects.contains(charge.suspect);
    };
    const auto count = [&](std::uint64_t suspect, const CrashEvidence::Crashes &crashes) {
        std::pair<std::size_t, std::size_t> result;
        for (const auto *crash : crashes) {
            if (!isCounted(*crash))
                continue;
            ++result.first;
            result.second += crash->suspects.at(suspect).requests.size();
        }
        return result;
    };
    const auto own = count(charge.suspect, evidence.suspects().at(charge.suspect));
    return std::any_of(
        evidence.suspects().begin(), evidence.suspects().end(), [&](const auto &item) {
            if (item.second.size() * 5 < own.first * 4)
                return false;
            const auto other = count(item.first, item.second);
            return other.first * 5 >= own.first * 4 && other.second * 2 <= own.second;
        });
}

CrashOdds PoisonEvidence::odds(const CrashEvidence &evidence, const Charge &charge,
                               Core::Clock::Monotonic now) const
{
    CrashEvidence::Crashes crashes;
    for (const auto &crash : evidence.crashes()) {
        if (crash.time >= charge.firstCrash && now - crash.time >= SettlingTime
            && !containsAny(crash, charge.others))
            crashes.push_back(&crash);
    }
    double answers = 0;
    for (const auto &[time, count] : m_answerCounts) {
        if (time > charge.firstCrash && now - time >= MaxReportDelay)
            answers += count;
    }
    const auto suspects = evidence.suspects().size();
    const auto requests = evidence.wholeRequests();
    return crashOdds({charge.suspect, charge.isRequest,
                      charge.isRequest ? requests : suspects - requests, answers,
                      m_answered.share(charge.suspect)},
                     crashes);
}

std::vector<std::uint64_t> PoisonEvidence::explanations(const CrashEvidence &evidence,
                                                        const Charge &charge, const Causes &causes,
                                                        const Counts &counts) const
{
    std::vector<std::uint64_t> result;
    for (const auto other : causes) {
        const auto it = evidence.suspects().find(other);
        if (other == charge.suspect || it == evidence.suspects().end())
            continue;
        const bool isRequest = it->second.front()->suspects.at(other).isRequest;
        const auto total = this->charge(other, it->second, counts);
        const bool isStronger = total.crashes > charge.crashes;
        // A suspect without an answer compares as the one that was answered first.
        const bool isEqual =
            total.crashes == charge.crashes || total.lastAnswer < charge.lastAnswer;
        const bool isComparable = total.crashes * 3 >= charge.crashes * 2;
        const bool explains =
            isStronger || (isEqual && isComparable && !causes.contains(charge.suspect));
        // A part that crashes engines is in different requests, which outweighs one of them.
        if (isRequest == charge.isRequest ? explains : charge.isRequest)
            result.push_back(other);
    }
    return result;
}

bool PoisonEvidence::isExplained(std::uint64_t suspect, const Causes &causes) const
{
    const auto begun = m_begun.suspects().find(suspect);
    const bool hasBegun = begun != m_begun.suspects().end() && begun->second.size() >= MinMoments;
    const auto &evidence = hasBegun ? m_begun : m_all;
    const auto it = evidence.suspects().find(suspect);
    if (it == evidence.suspects().end())
        return false;
    const auto total = charge(suspect, it->second, anyCrash);
    const auto others = explanations(evidence, total, causes, anyCrash);
    const auto open = charge(suspect, it->second, [&others](const UpstreamCrash &crash) {
        return !containsAny(crash, others);
    });
    return open.crashes < total.crashes && open.moments < MinMoments;
}

} // namespace Gateway
