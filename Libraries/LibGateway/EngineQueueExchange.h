#pragma once

#include <LibCore/Identifier.h>
#include <LibGateway/EngineQueue.h>
#include <LibGateway/FleetMembers.h>
#include <LibGateway/UpstreamFleet.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Gateway {

namespace Wire {
struct QueueMessage;
enum class QueueStep : std::uint8_t;
} // namespace Wire

class EngineQueueExchange;

/// The entry of one prompt in the queue of its engine. Reports the end of the request when it is
/// destroyed.
class QueuePlace
{
public:
    QueuePlace(EngineQueueExchange &exchange, FleetMember keeper, std::uint64_t number,
               std::uint64_t upstream);
    ~QueuePlace();
    QueuePlace(const QueuePlace &) = delete;
    QueuePlace &operator=(const QueuePlace &) = delete;

    void noteFirstToken();
    /// Returns the number of requests of all instances that were at the upstream when this one was
    /// entered.
    unsigned requestsAhead() const { return m_requestsAhead; }

private:
    friend class EngineQueueExchange;

    EngineQueueExchange &m_exchange;
    FleetMember m_keeper;
    std::uint64_t m_number;
    std::uint64_t m_upstream;
    unsigned m_requestsAhead = 0;
};

/// Keeps the queues of engines, each at one instance, the keeper, which all others ask before they
/// send a prompt there.
///
/// Answers stale load reports: many instances that see the same idle engine would send their
/// prompts to it at once, and a prompt occupies an engine for longer than a report takes. The
/// keeper of an engine is found by hashing among the members of its data centre, without agreement.
/// If a keeper does not answer, an instance decides by the reports alone and asks the next one for
/// a while; two keepers at once make the answers less accurate, but nothing depends on them.
class EngineQueueExchange
{
public:
    struct Dependencies
    {
        const Core::Clock &clock;
        const FleetMembers &members;
        UpstreamFleet &fleet;
        /// Returns the prefill rate of a service's engines, in tokens per millisecond.
        std::function<double(const std::string &service)> prefillRate;
        /// Sends a datagram to a sibling.
        std::function<void(const Http::Endpoint &, std::string_view)> send;
        /// Called with each prefill that was measured at a queue kept here. May be empty.
        std::function<void(std::uint64_t upstream, const EngineQueue::Prefill &)> onPrefill = {};
        /// Returns whether the service has no engines.
        std::function<bool(const std::string &service)> isPlain = nullptr;
    };
    /// The prompt that a place is requested for.
    struct Demand
    {
        std::uint64_t tokens = 0;
        std::uint64_t memoryTokens = 0;
        bool isUrgent = false;
        std::chrono::milliseconds remaining {0};
        /// Whether the keeper remembers the prompt until its deadline once it has begun to answer,
        /// so that its memory counts for that long.
        bool isKeptWhileRunning = false;
        /// For a request of a plain service: it is entered only if fewer requests than this are at
        /// the upstream. 0 for a prompt, which is always entered.
        unsigned requestLimit = 0;
    };

    EngineQueueExchange(boost::asio::io_context &context, Dependencies dependencies);

    /// Enters the prompt in the engine's queue, and updates what is known of the engine's load.
    /// Returns null if the keeper did not answer in time.
    boost::asio::awaitable<std::unique_ptr<QueuePlace>> enter(std::shared_ptr<Upstream> engine,
                                                              Demand demand);
    /// Drops expired entries until the process ends.
    boost::asio::awaitable<void> run();

    /// Returns whether the datagram is for this class.
    static bool isQueueMessage(std::string_view datagram);
    /// Applies a datagram of a sibling, and answers it.
    void apply(std::string_view datagram, const Http::Endpoint &from);
    /// Sends the notes that have accumulated. Public for tests.
    void flushNotes();
    void dropExpired();

    /// Returns the instance that keeps the engine's queue.
    FleetMember keeperOf(const Upstream &engine) const;

private:
    friend class QueuePlace;

    struct PendingAsk
    {
        std::shared_ptr<Upstream> engine;
        boost::asio::steady_timer *timer = nullptr;
        bool isAnswered = false;
        unsigned requestsAhead = 0;
    };
    struct NoteBatch
    {
        Http::Endpoint endpoint;
        std::vector<std::pair<EngineQueue::Key, Wire::QueueStep>> notes;
        std::vector<std::uint64_t> upstreams;
    };

    void note(const FleetMember &keeper, std::uint64_t number, std::uint64_t upstream,
              Wire::QueueStep step);
    /// Adds a request to a queue that this instance keeps, unless its demand forbids it. Returns
    /// the load before that.
    SiblingLoad add(std::uint64_t upstream, const EngineQueue::Key &key, const Demand &demand);
    void applyNote(const EngineQueue::Key &key, std::uint64_t upstream, Wire::QueueStep step);
    void applyAsks(const Wire::QueueMessage &message, const Http::Endpoint &from);
    void applyAnswers(const Wire::QueueMessage &message);
    SiblingLoad loadOf(std::uint64_t upstream) const;
    void noteLoad(Upstream &engine, const SiblingLoad &all) const;
    bool isSkipped(const Core::InstanceId &instance) const;

    Dependencies m_dependencies;
    boost::asio::io_context &m_context;
    std::uint64_t m_incarnation;
    std::uint64_t m_lastNumber = 0;
    std::unordered_map<std::uint64_t, EngineQueue> m_queues;
    std::map<std::uint64_t, PendingAsk> m_pending;
    std::map<Core::InstanceId, NoteBatch> m_notes;
    boost::asio::steady_timer m_noteTimer;
    /// The number of requests of plain services in a row that a keeper did not answer.
    std::map<Core::InstanceId, unsigned> m_missed;
    /// Keepers that did not answer, with the time until which they are not asked.
    std::map<Core::InstanceId, Core::Clock::Monotonic> m_skippedUntil;
};

} // namespace Gateway
