#pragma once

#include <LibGateway/FleetMembers.h>
#include <LibGateway/GatewaySettings.h>
#include <LibGateway/LogRelay.h>

#include <map>
#include <string>

namespace Gateway {

/// Reads the store's logs itself or through a sibling.
///
/// In a data centre with many instances a few read the store, and the others ask them, so that the
/// store's calls do not grow with the fleet. An instance that the store turns away asks any
/// sibling. Whoever finds a sibling's knowledge old, or gets no answer, asks the store at once, so
/// that no choice of readers has to be agreed on. Appends always go to the store.
class SharedLog final : public FleetLog
{
public:
    /// Instances of a data centre that read the store themselves.
    static constexpr std::size_t Readers = 3;

    struct Dependencies
    {
        FleetLog &store;
        LogRelay &relay;
        const FleetMembers &members;
        const Core::Clock &clock;
        /// For the bounds on configurations and drains, which hold however the logs are read.
        const GatewaySettings &settings;
    };

    explicit SharedLog(Dependencies dependencies);

    boost::asio::awaitable<FleetPage> newest(FleetTopic topic) override;
    /// A read that does not wait always goes to the store; others are spaced so that few calls
    /// bring many records.
    boost::asio::awaitable<FleetPage> read(FleetTopic topic, std::uint64_t from,
                                           std::chrono::milliseconds wait) override;
    boost::asio::awaitable<AppendOutcome> append(FleetTopic topic, std::string value,
                                                 std::optional<std::uint64_t> expectedEnd) override;

    /// Whether this instance is one of its data centre's readers.
    bool isReader() const;

private:
    struct TopicState
    {
        /// The store is not asked again before this, while siblings may be.
        Core::Clock::Monotonic nextStoreRead = Core::Clock::Monotonic::min();
        /// When the store last gave no answer.
        Core::Clock::Monotonic lastStoreFailure = Core::Clock::Monotonic::min();
        bool isStoreFailing = false;
        /// Who the last page came from; empty for the store.
        Core::InstanceId source;
    };

    /// Whether others of the data centre may read through this instance.
    bool mayHaveFollowers() const;
    /// The pause between two reads of the store.
    std::chrono::milliseconds storeReadPause(FleetTopic topic) const;
    /// How long a read of the store may wait for news.
    std::chrono::milliseconds storeReadWait(FleetTopic topic,
                                            std::chrono::milliseconds requested) const;
    /// The bound that knowledge of the log has to meet.
    std::chrono::milliseconds maxAgeOf(FleetTopic topic) const;
    boost::asio::awaitable<FleetPage> readStore(FleetTopic topic, std::uint64_t from,
                                                std::chrono::milliseconds wait);
    /// Nothing when no sibling has fresh enough knowledge.
    boost::asio::awaitable<std::optional<FleetPage>>
    readSiblings(FleetTopic topic, std::uint64_t from, std::chrono::milliseconds wait);
    /// Nothing, and the sibling is passed over for a while, when it does not help.
    boost::asio::awaitable<std::optional<FleetPage>> querySibling(FleetMember sibling,
                                                                  FleetTopic topic,
                                                                  std::uint64_t from,
                                                                  std::chrono::milliseconds wait);
    std::optional<FleetMember> chooseSibling(const TopicState &state) const;
    bool isUseful(FleetTopic topic, const FleetPage &page) const;
    void noteSource(FleetTopic topic, const Core::InstanceId &source, const std::string &reason);

    Dependencies m_dependencies;
    std::map<FleetTopic, TopicState> m_topics;
    /// Which sibling is asked while the store does not answer; moves on when one has nothing newer.
    std::size_t m_siblingIndex = 0;
    /// Siblings that gave no or an old answer, with the time until which they are not asked again.
    std::map<Core::InstanceId, Core::Clock::Monotonic> m_skippedUntil;
};

/// The log's name for operators.
std::string_view nameOf(FleetTopic topic);

} // namespace Gateway
