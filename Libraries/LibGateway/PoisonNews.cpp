#include <LibCore/EventLog.h>
#include <LibGateway/FleetMessages_generated.h>
#include <LibGateway/PoisonNews.h>

#include <algorithm>

namespace Gateway {

using std::chrono::milliseconds;

namespace {

// Older news would not count as evidence.
constexpr milliseconds MaxAge {60'000};
// Enough for the crash of several engines with full queues.
constexpr std::size_t MaxQueued = 512;
constexpr std::size_t MaxSeen = 4'096;
// The same answer seems newer by the time that its datagrams take, which ages do not include.
constexpr milliseconds TransitTolerance {100};

std::uint32_t ageMs(Core::Clock::Monotonic time, Core::Clock::Monotonic now)
{
    const auto age = std::chrono::duration_cast<milliseconds>(now - time);
    return static_cast<std::uint32_t>(std::clamp(age, milliseconds(0), MaxAge).count());
}

template <typename List>
std::size_t sizeOf(const List *list)
{
    return list ? list->size() : 0;
}

/// Moves the entries that were sent least often to the front.
template <typename Entry>
void sortBySends(std::vector<Entry> &entries)
{
    std::stable_sort(entries.begin(), entries.end(), [](const auto &left, const auto &right) {
        return left.sendsLeft > right.sendsLeft;
    });
}

template <typename Entry>
void removeSent(std::vector<Entry> &entries)
{
    std::erase_if(entries, [](const auto &entry) { return entry.sendsLeft == 0; });
}

} // namespace

PoisonNews::PoisonNews(PoisonTable &table, const Core::Clock &clock)
    : m_table(table)
    , m_clock(clock)
{ }

void PoisonNews::publish(const Casualty &casualty)
{
    QueuedCasualty entry {casualty, m_clock.now()};
    auto &parts = entry.casualty.parts;
    parts.resize(std::min(parts.size(), MaxPartsOfCasualty));
    if (!isNew(entry.casualty))
        return;
    push(m_own, entry);
    push(m_dataCentre, entry);
}

PoisonNews::Queue &PoisonNews::queueFor(Wire::Scope scope)
{
    switch (scope) {
    case Wire::Scope::DataCentre:
        return m_dataCentre;
    case Wire::Scope::Elsewhere:
        return m_remote;
    case Wire::Scope::Instance:
        break;
    }
    return m_own;
}

PoisonNews::Queue *PoisonNews::forwardQueueOf(Wire::Scope scope)
{
    if (scope == Wire::Scope::Instance)
        return &m_dataCentre;
    return scope == Wire::Scope::DataCentre ? &m_remote : nullptr;
}

void PoisonNews::dropForwarded()
{
    m_dataCentre = {};
    m_remote = {};
}

void PoisonNews::queueAnswers()
{
    const auto now = m_clock.now();
    for (const auto &answered : m_table.takeAnsweredSuspects(now)) {
        const QueuedAnswer entry {answered.suspect, now - answered.age};
        // Siblings that reported the answer have sent it to all.
        if (!isNew(entry))
            continue;
        push(m_own, entry);
        push(m_dataCentre, entry);
    }
}

flatbuffers::Offset<Wire::PoisonNews> PoisonNews::encode(flatbuffers::FlatBufferBuilder &builder,
                                                         Wire::Scope scope)
{
    const auto now = m_clock.now();
    if (scope == Wire::Scope::Instance)
        queueAnswers();
    auto &queue = queueFor(scope);
    std::vector<flatbuffers::Offset<Wire::Casualty>> casualties;
    for (const auto &entry : takeCasualties(queue))
        casualties.push_back(Wire::CreateCasualtyDirect(
            builder, entry.casualty.crash, entry.casualty.request, &entry.casualty.parts,
            ageMs(entry.time, now), entry.casualty.hasBegun, entry.casualty.attempt));
    std::vector<Wire::AnsweredPart> answers;
    for (const auto &entry : takeAnswers(queue))
        answers.emplace_back(entry.part, ageMs(entry.time, now));
    const auto poison = wirePoisonParts(m_table, now);
    if (casualties.empty() && answers.empty() && poison.empty())
        return {};
    return Wire::CreatePoisonNewsDirect(builder, &casualties, &answers, &poison);
}

std::vector<PoisonNews::QueuedCasualty> PoisonNews::takeCasualties(Queue &queue)
{
    std::vector<QueuedCasualty> taken;
    std::size_t parts = 0;
    sortBySends(queue.casualties);
    for (auto &entry : queue.casualties) {
        parts += entry.casualty.parts.size();
        if (taken.size() == MaxCasualties || parts > MaxCasualtyParts)
            break;
        --entry.sendsLeft;
        taken.push_back(entry);
    }
    removeSent(queue.casualties);
    return taken;
}

std::vector<PoisonNews::QueuedAnswer> PoisonNews::takeAnswers(Queue &queue)
{
    std::vector<QueuedAnswer> taken;
    sortBySends(queue.answers);
    for (auto &entry : queue.answers) {
        if (taken.size() == MaxAnsweredParts)
            break;
        --entry.sendsLeft;
        taken.push_back(entry);
    }
    removeSent(queue.answers);
    return taken;
}

bool PoisonNews::isTooLarge(const Wire::PoisonNews &news)
{
    std::size_t parts = 0;
    if (news.casualties()) {
        for (const auto *entry : *news.casualties())
            parts += sizeOf(entry->parts());
    }
    return sizeOf(news.casualties()) > MaxCasualties || parts > MaxCasualtyParts
           || sizeOf(news.answered()) > MaxAnsweredParts || sizeOf(news.poison()) > MaxPoisonParts;
}

void PoisonNews::apply(const Wire::PoisonNews *news, Wire::Scope scope)
{
    if (!news)
        return;
    if (isTooLarge(*news)) {
        Core::logEvent(Core::EventId::PeerFrameInvalid,
                       {{"reason", "the news about poison parts exceed their limits"},
                        {"casualties", std::to_string(sizeOf(news->casualties()))},
                        {"answered", std::to_string(sizeOf(news->answered()))},
                        {"poison", std::to_string(sizeOf(news->poison()))}});
        return;
    }
    auto *forward = forwardQueueOf(scope);
    // Answers are applied first, because they end the evidence of the casualties before them.
    if (news->answered()) {
        for (const auto *entry : *news->answered())
            applyAnswer({entry->part(), milliseconds(entry->age_ms())}, forward);
    }
    if (news->casualties()) {
        for (const auto *entry : *news->casualties())
            applyCasualty(*entry, forward);
    }
    if (news->poison()) {
        for (const auto *entry : *news->poison())
            m_table.notePoison(readPoisonCause(*entry), m_clock.now());
    }
}

void PoisonNews::applyAnswer(const AnsweredSuspect &answered, Queue *forward)
{
    const auto now = m_clock.now();
    const QueuedAnswer entry {answered.suspect, now - answered.age};
    if (answered.age >= MaxAge || !isNew(entry))
        return;
    m_table.noteAnsweredBySibling(answered, now);
    if (forward)
        push(*forward, entry);
}

void PoisonNews::applyCasualty(const Wire::Casualty &entry, Queue *forward)
{
    const milliseconds age(entry.age_ms());
    if (age >= MaxAge)
        return;
    QueuedCasualty queued {{entry.crash(), entry.request(), {}, entry.has_begun(), entry.attempt()},
                           m_clock.now() - age};
    if (entry.parts())
        queued.casualty.parts.assign(entry.parts()->begin(), entry.parts()->end());
    if (!isNew(queued.casualty))
        return;
    // Crashes at the same moment arrive at different times, so the time of the crash counts.
    m_table.noteCasualty(queued.casualty, queued.time);
    if (forward)
        push(*forward, queued);
}

bool PoisonNews::isNew(const Casualty &casualty)
{
    const std::pair key(casualty.crash, casualty.identity());
    if (!m_seenCasualties.insert(key).second)
        return false;
    m_seenOrder.push_back(key);
    if (m_seenOrder.size() > MaxSeen) {
        m_seenCasualties.erase(m_seenOrder.front());
        m_seenOrder.pop_front();
    }
    return true;
}

bool PoisonNews::isNew(const QueuedAnswer &answer)
{
    if (m_seenAnswers.size() >= MaxSeen) {
        const auto oldest = m_clock.now() - MaxAge;
        std::erase_if(m_seenAnswers, [oldest](const auto &item) { return item.second < oldest; });
        if (m_seenAnswers.size() >= MaxSeen)
            m_seenAnswers.clear();
    }
    const auto [it, isFirst] = m_seenAnswers.try_emplace(answer.part, answer.time);
    if (!isFirst && answer.time <= it->second + TransitTolerance)
        return false;
    it->second = answer.time;
    return true;
}

void PoisonNews::push(Queue &queue, const QueuedCasualty &casualty)
{
    if (queue.casualties.size() == MaxQueued)
        queue.casualties.erase(queue.casualties.begin());
    queue.casualties.push_back(casualty);
}

void PoisonNews::push(Queue &queue, const QueuedAnswer &answer)
{
    std::erase_if(queue.answers, [&answer](const auto &it) { return it.part == answer.part; });
    if (queue.answers.size() == MaxQueued)
        queue.answers.erase(queue.answers.begin());
    queue.answers.push_back(answer);
}

std::vector<Wire::PoisonPart> wirePoisonParts(const PoisonTable &table, Core::Clock::Monotonic now)
{
    std::vector<Wire::PoisonPart> entries;
    for (const auto &poison : table.causes(now)) {
        if (entries.size() == PoisonNews::MaxPoisonParts)
            break;
        entries.emplace_back(poison.cause, static_cast<std::int32_t>(poison.remaining.count()),
                             poison.convictions);
    }
    return entries;
}

PoisonCause readPoisonCause(const Wire::PoisonPart &entry)
{
    return {entry.part(), milliseconds(entry.remaining_ms()), entry.convictions()};
}

} // namespace Gateway
