#pragma once

#include <LibAdmission/TeamRoom.h>
#include <LibGateway/EngineSpeeds.h>
#include <LibGateway/FleetMembers.h>
#include <LibGateway/KvCacheStores.h>
#include <LibGateway/PoisonNews.h>
#include <LibGateway/UpstreamFleet.h>
#include <LibGateway/WeightsTargets.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Gateway {

namespace Wire {
struct Hold;
struct NamedWeights;
struct SiblingReport;
struct UpstreamSpeed;
struct Weights;
enum class Scope : std::uint8_t;
} // namespace Wire

/// Publishes to siblings, in datagrams, the load that this instance puts on each upstream, the
/// prompt parts that engines and KV cache stores hold, the weights that engines have loaded, and
/// the news about prompt parts that crash engines; and applies the reports of siblings. The data
/// only improves placement: losing a datagram or a sibling is harmless.
///
/// In a small fleet each instance sends reports to all others. In a large fleet it sends them
/// within its data centre; one hub of each data centre sends the sum to the hubs of the others, and
/// forwards their sums to its own data centre. The age of the data therefore stays at some hundred
/// milliseconds for any fleet size, and the traffic between data centres does not grow with the
/// square of the number of instances.
class SiblingExchange
{
public:
    struct Dependencies
    {
        const Core::Clock &clock;
        FleetMembers &members;
        UpstreamFleet &fleet;
        KvCacheStores &stores;
        WeightsTargets &weights;
        PoisonNews &poisonNews;
        /// Null if the speeds of engines are not exchanged.
        EngineSpeeds *speeds = nullptr;
        /// What teams ask, here and elsewhere; null if it is not exchanged.
        Admission::TeamRoom *teamRoom = nullptr;
    };

    SiblingExchange(boost::asio::io_context &context, Dependencies dependencies);

    /// Opens the port. Throws Error(SettingsInvalid) when that fails.
    void open();
    /// Sends full reports periodically.
    boost::asio::awaitable<void> send();
    /// Sends urgent updates immediately, because siblings would otherwise place requests wrongly:
    /// pauses, weights and unreachable upstreams.
    boost::asio::awaitable<void> sendUrgent();
    boost::asio::awaitable<void> receive();

    /// Sends a datagram to a sibling's port.
    void sendTo(const Http::Endpoint &member, std::string_view datagram);
    /// Called with each datagram and its sender. Returns whether it was for another class.
    std::function<bool(std::string_view, const Http::Endpoint &)> onDatagram;

    /// Queues the parts for the next report.
    void publishParts(const Upstream &engine, std::span<const PromptPart> parts);
    /// Queues parts with identifiers from KvCacheStore::storedParts().
    void publishStoredParts(const KvCacheStore &store, std::span<const PromptPart> parts);
    /// Queues the epoch of a KV cache store that answered this instance.
    void publishStoreEpoch(std::uint64_t holder, std::uint64_t epoch);
    void publishPause(const Upstream &engine, std::chrono::milliseconds time);
    /// Reports that this instance could not reach the upstream. Sent only once, as an urgent
    /// update.
    void publishUnreachable(const Upstream &upstream);
    void publishWeights(const Upstream &engine, const std::string &model, std::uint64_t version);

    /// Returns the next full report of this instance. Public for tests.
    std::string encode();
    /// Returns the report that a hub sends to the hubs of other data centres. Public for tests.
    std::string encodeDataCentre();
    /// Returns the report that a hub forwards to its own data centre. Public for tests.
    std::string encodeRemoteSum();
    /// Returns the urgent updates; the next full report repeats pauses and weights. Public for
    /// tests.
    std::string encodeUrgent();
    /// Applies a datagram of a sibling. Public for tests.
    void apply(std::string_view datagram);
    /// Clears the loads of siblings that have stopped reporting.
    void dropSilent();

private:
    struct Part
    {
        std::uint64_t holder = 0;
        PromptPart part;
    };
    struct Pause
    {
        std::uint64_t upstream = 0;
        std::chrono::milliseconds time {0};
    };
    struct Weights
    {
        std::uint64_t upstream = 0;
        std::uint64_t model = 0;
        std::uint64_t version = 0;
    };
    using Loads = std::unordered_map<std::uint64_t, SiblingLoad>;
    /// A source of loads: an instance, or a hub that reports for many.
    struct Source
    {
        std::uint64_t incarnation = 0;
        std::uint64_t number = 0;
        Core::Clock::Monotonic lastReport;
        bool isSilent = true;
        /// Whether the source is the sum of one data centre, or of all remote data centres.
        bool isDataCentre = false;
        bool isRemote = false;
        /// The sender of the last report.
        FleetMember sender;
        Loads loads;
        std::vector<Admission::TeamRate> teamRates;
    };
    /// Parts that wait to be sent.
    using PartQueue = std::vector<Part>;

    /// Updates that are sent immediately. Pauses and weights are repeated in the next full report,
    /// because datagrams may be lost.
    struct UrgentUpdates
    {
        std::vector<Pause> pauses;
        std::vector<Weights> weights;
        std::vector<std::uint64_t> unreachable;
        bool isEmpty() const { return pauses.empty() && weights.empty() && unreachable.empty(); }
    };

    void queueParts(std::uint64_t holder, std::span<const PromptPart> parts);
    static void push(PartQueue &queue, const Part &part, std::size_t maxSize);
    void queueUpdates(const UrgentUpdates &updates);
    static std::pair<std::vector<Wire::Hold>, std::vector<Wire::Weights>>
    wireUpdates(const UrgentUpdates &updates);
    void sendTo(const std::vector<FleetMember> &members, const std::string &datagram);
    std::vector<FleetMember> allMembers() const;
    /// Returns the members that receive the sum of this data centre.
    std::vector<FleetMember> otherHubs() const;
    std::string encodeSum(const Loads &loads, const PartQueue &parts,
                          const std::vector<Admission::TeamRate> &teamRates, Wire::Scope scope);
    /// Returns the load of the requests of this instance.
    Loads ownLoads() const;
    std::vector<Admission::TeamRate> ownTeamRates() const;
    /// Returns the sum of the loads of the sources that match the predicate.
    template <typename Predicate>
    Loads sumOf(Predicate isIncluded) const;
    /// Returns what those sources report about teams, not added up.
    template <typename Predicate>
    std::vector<Admission::TeamRate> teamRatesOf(Predicate isIncluded) const;

    Source &source(const Wire::SiblingReport &report);
    void noteMember(const Wire::SiblingReport &report, Source &source);
    /// Records the report as the latest of its source. Returns false when it is out of date.
    bool noteReport(const Wire::SiblingReport &report, Source &source);
    void applyWeights(const Wire::SiblingReport &report) const;
    void applyNamedWeights(const Wire::SiblingReport &report) const;
    std::vector<Wire::NamedWeights> wireNamedWeights() const;
    void applySpeeds(const Wire::SiblingReport &report) const;
    /// Returns the speeds of engines that a report of the scope contains.
    std::vector<Wire::UpstreamSpeed> wireSpeeds(Wire::Scope scope) const;
    void applyUnreachable(const Wire::SiblingReport &report) const;
    void applyPauses(const Wire::SiblingReport &report) const;
    void applyParts(const Wire::SiblingReport &report);
    /// Updates the sibling load of each upstream with the sum over all sources.
    void applySums();
    std::chrono::milliseconds interval() const;

    Dependencies m_dependencies;
    boost::asio::ip::udp::socket m_socket;
    std::map<std::string, Source> m_sources;
    PartQueue m_cachedParts;
    /// At a hub: the parts that its data centre, and all others, have reported since the last sum.
    PartQueue m_dataCentreParts;
    PartQueue m_remoteParts;
    UrgentUpdates m_reportUpdates;
    UrgentUpdates m_urgentUpdates;
    boost::asio::steady_timer m_urgentTimer;
    std::map<std::uint64_t, std::uint64_t> m_storeEpochs;
    std::uint64_t m_incarnation;
    std::uint64_t m_reportNumber = 0;
    std::array<char, 65'536> m_buffer {};
};

} // namespace Gateway
