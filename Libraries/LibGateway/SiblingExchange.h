#pragma once

#include <LibGateway/FleetMembers.h>
#include <LibGateway/KvCacheStores.h>
#include <LibGateway/UpstreamFleet.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Gateway {

namespace Wire {
struct Hold;
struct SiblingReport;
struct Weights;
enum class Scope : std::uint8_t;
} // namespace Wire

/// Tells siblings in datagrams what this instance sends to which upstream, which prompt parts
/// engines and stores hold, and which weights engines were seen to have; and takes in what siblings
/// tell. All of it only makes choices better: a lost datagram or sibling breaks nothing.
///
/// In a small fleet each instance tells all others. In a large one it tells those of its data
/// centre; one hub of each data centre tells the hubs of the others the sum, and passes their sums
/// on to its own. So news is some hundred milliseconds old whatever the size, and bytes between
/// data centres do not grow with the square of the instances.
class SiblingExchange
{
public:
    struct Dependencies
    {
        const Core::Clock &clock;
        FleetMembers &members;
        UpstreamFleet &fleet;
        KvCacheStores &stores;
    };

    SiblingExchange(boost::asio::io_context &context, Dependencies dependencies);

    /// Opens the port. Throws Error(SettingsInvalid).
    void open();
    /// Sends a whole report again and again.
    boost::asio::awaitable<void> send();
    /// Sends at once what siblings would otherwise act against: holds and weights.
    boost::asio::awaitable<void> sendUrgent();
    boost::asio::awaitable<void> receive();

    /// Queues news for the next datagram.
    void publishParts(const Upstream &engine, std::span<const PromptPart> parts);
    /// Parts as the store of parts tells them apart.
    void publishStoredParts(const KvCacheStore &store, std::span<const PromptPart> parts);
    /// A store of parts answered this instance, in the life with this epoch.
    void publishStoreEpoch(std::uint64_t holder, std::uint64_t epoch);
    void publishPause(const Upstream &engine, std::chrono::milliseconds time);
    /// This instance could not reach the upstream. Told at once only.
    void publishUnreachable(const Upstream &upstream);
    void publishWeights(const Upstream &engine, const std::string &model, std::uint64_t version);

    /// The next whole report of this instance. Public for tests.
    std::string encode();
    /// What a hub tells the hubs of other data centres. Public for tests.
    std::string encodeDataCentre();
    /// What a hub passes on to its own data centre. Public for tests.
    std::string encodeRemoteSum();
    /// What cannot wait for the next whole report, which repeats it. Public for tests.
    std::string encodeUrgent();
    /// Takes in a sibling's datagram. Public for tests.
    void apply(std::string_view datagram);
    /// Forgets the load of siblings that went silent.
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
    /// Who tells loads: an instance, or a hub for many.
    struct Source
    {
        std::uint64_t incarnation = 0;
        std::uint64_t number = 0;
        Core::Clock::Monotonic lastReport;
        bool isSilent = true;
        /// A hub's sum over its own or the other data centres.
        bool isDataCentre = false;
        bool isRemote = false;
        /// Who sent it last.
        FleetMember sender;
        Loads loads;
    };
    /// Parts that a hub passes on.
    using PartQueue = std::vector<Part>;

    /// What is told at once, and again in the next whole report, as datagrams may be lost.
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
    /// Where the sums of this data centre go.
    std::vector<FleetMember> otherHubs() const;
    std::string encodeSum(const Loads &loads, const PartQueue &parts, Wire::Scope scope);
    /// The requests of this instance.
    Loads ownLoads() const;
    /// The loads of the sources that the predicate takes.
    template <typename Predicate>
    Loads sumOf(Predicate isIncluded) const;

    Source &source(const Wire::SiblingReport &report);
    void noteMember(const Wire::SiblingReport &report, Source &source);
    /// Returns whether the report is newer than what is known of its source.
    bool noteReport(const Wire::SiblingReport &report, Source &source);
    void applyWeights(const Wire::SiblingReport &report) const;
    void applyUnreachable(const Wire::SiblingReport &report) const;
    void applyPauses(const Wire::SiblingReport &report) const;
    void applyParts(const Wire::SiblingReport &report);
    /// Puts together what all sources tell of each upstream.
    void applySums();
    std::chrono::milliseconds interval() const;

    Dependencies m_dependencies;
    boost::asio::ip::udp::socket m_socket;
    std::map<std::string, Source> m_sources;
    PartQueue m_cachedParts;
    /// For a hub: what its data centre, and what all others, have told since the last sum.
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
