#pragma once

#include <LibCore/Clock.h>
#include <LibGateway/PoisonTable.h>

#include <flatbuffers/flatbuffers.h>

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace Gateway {

namespace Wire {
struct Casualty;
struct PoisonNews;
struct PoisonPart;
enum class Scope : std::uint8_t;
} // namespace Wire

/// The news about parts that crash engines, in the reports that siblings exchange: casualties,
/// answered parts and poison parts. Casualties and answered parts are repeated in a few reports,
/// because datagrams may be lost. A hub forwards those of its data centre to the hubs of the
/// others, and theirs to its data centre, each of them once.
class PoisonNews
{
public:
    /// Limits of one report. A report that exceeds them is malformed.
    static constexpr std::size_t MaxCasualties = 16;
    static constexpr std::size_t MaxCasualtyParts = 256;
    static constexpr std::size_t MaxAnsweredParts = 64;
    static constexpr std::size_t MaxPoisonParts = 64;
    /// More parts of one casualty are left out.
    static constexpr std::size_t MaxPartsOfCasualty = 64;
    /// The number of reports that contain a casualty or an answered part.
    static constexpr unsigned Repetitions = 3;

    PoisonNews(PoisonTable &table, const Core::Clock &clock);

    /// Queues a casualty of this instance for the next reports.
    void publish(const Casualty &casualty);
    /// Returns the news for the next report of the scope; a null offset if there are none.
    flatbuffers::Offset<Wire::PoisonNews> encode(flatbuffers::FlatBufferBuilder &builder,
                                                 Wire::Scope scope);
    /// Applies the news in a sibling's report; they may be null.
    void apply(const Wire::PoisonNews *news, Wire::Scope scope);
    /// Drops what is queued for other data centres. To be called at instances that are no hubs.
    void dropForwarded();

private:
    struct QueuedCasualty
    {
        Casualty casualty;
        Core::Clock::Monotonic time;
        unsigned sendsLeft = Repetitions;
    };
    struct QueuedAnswer
    {
        std::uint64_t part = 0;
        Core::Clock::Monotonic time;
        unsigned sendsLeft = Repetitions;
    };
    struct Queue
    {
        std::vector<QueuedCasualty> casualties;
        std::vector<QueuedAnswer> answers;
    };

    static bool isTooLarge(const Wire::PoisonNews &news);
    Queue &queueFor(Wire::Scope scope);
    /// Returns the queue that forwards what arrives in reports of the scope; null if none does.
    Queue *forwardQueueOf(Wire::Scope scope);
    void queueAnswers();
    void applyCasualty(const Wire::Casualty &entry, Queue *forward);
    void applyAnswer(const AnsweredSuspect &answered, Queue *forward);
    /// Returns whether the casualty was not seen before, and remembers it.
    bool isNew(const Casualty &casualty);
    /// Returns whether the answer is newer than the last one that was seen, and remembers it.
    bool isNew(const QueuedAnswer &answer);
    static void push(Queue &queue, const QueuedCasualty &casualty);
    static void push(Queue &queue, const QueuedAnswer &answer);
    static std::vector<QueuedCasualty> takeCasualties(Queue &queue);
    static std::vector<QueuedAnswer> takeAnswers(Queue &queue);

    PoisonTable &m_table;
    const Core::Clock &m_clock;
    Queue m_own;
    /// At a hub: what its data centre, and all others, have reported.
    Queue m_dataCentre;
    Queue m_remote;
    /// The casualties that were seen, by crash and identity, and their order.
    std::set<std::pair<std::uint64_t, std::uint64_t>> m_seenCasualties;
    std::deque<std::pair<std::uint64_t, std::uint64_t>> m_seenOrder;
    /// The times of the answers that were seen.
    std::map<std::uint64_t, Core::Clock::Monotonic> m_seenAnswers;
};

/// Returns the poison parts as reports and journal records contain them.
std::vector<Wire::PoisonPart> wirePoisonParts(const PoisonTable &table, Core::Clock::Monotonic now);
/// Returns a poison part of a report or journal record.
PoisonCause readPoisonCause(const Wire::PoisonPart &entry);

} // namespace Gateway
