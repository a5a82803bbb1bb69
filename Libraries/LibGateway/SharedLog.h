#pragma once

#include <LibGateway/FleetMembers.h>
#include <LibGateway/GatewaySettings.h>
#include <LibGateway/LogRelay.h>

#include <boost/asio/any_io_executor.hpp>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Gateway {

/// Reads the logs of the store directly or through a sibling.
///
/// In a data centre with many instances, a few read the store and the others query them. In a large
/// fleet only those of two data centres do; those of the others query them in turn, so that the
/// load of the store does not grow with the fleet: the readers form a tree. An instance that the
/// store rejects queries any sibling. An instance reads the store directly as soon as a sibling's
/// data is too old or a sibling does not answer, so the choice of readers needs no agreement. An
/// instance that starts takes the newest records from a sibling that runs. Appends always go to the
/// store.
class SharedLog final : public FleetLog
{
public:
    /// The number of instances in a data centre that read the store. In a large fleet, the number
    /// that the others query.
    static constexpr std::size_t Readers = 3;
    static constexpr std::size_t LargeFleetReaders = 2;
    /// The number of data centres of a large fleet in each of which one reader reads the store.
    static constexpr std::size_t ReadingDataCentres = 2;

    struct Dependencies
    {
        FleetLog &store;
        LogRelay &relay;
        const FleetMembers &members;
        const Core::Clock &clock;
        /// For the configuration and drain bounds, which apply however the logs are read.
        const GatewaySettings &settings;
    };

    explicit SharedLog(Dependencies dependencies);

    boost::asio::awaitable<FleetPage> newest(FleetTopic topic) override;
    /// A read without a wait always goes to the store. Other reads are spaced, so that one call
    /// returns many records.
    boost::asio::awaitable<FleetPage> read(FleetTopic topic, LogPosition from,
                                           std::chrono::milliseconds wait) override;
    boost::asio::awaitable<AppendOutcome> append(FleetTopic topic, std::string value,
                                                 std::optional<LogPosition> expectedEnd) override;

    /// Returns the highest era of the store that an answer or a sibling's page named.
    std::uint64_t era() const { return m_era; }
    /// Returns whether this instance is one of its data centre's readers.
    bool isReader() const;
    /// Returns whether it reads the store, rather than the readers of another data centre.
    bool readsStore() const;

    /// Called with each call to the store: the log and the kind of call.
    std::function<void(FleetTopic, std::string_view)> onStoreCall;

private:
    struct TopicState
    {
        /// The earliest time of the next store read; siblings may be queried before.
        Core::Clock::Monotonic nextStoreRead = Core::Clock::Monotonic::min();
        /// The time of the last failed store read.
        Core::Clock::Monotonic lastStoreFailure = Core::Clock::Monotonic::min();
        bool isStoreFailing = false;
        /// The number of store reads that failed since the last successful one.
        unsigned failedStoreReads = 0;
        /// The sibling that the last page came from; empty for the store.
        Core::InstanceId source;
    };

    std::size_t readersPerDataCentre() const;
    /// Returns the data centres of a large fleet whose readers read the store.
    std::vector<std::string> readingDataCentres() const;
    /// Returns the siblings to query, in order of preference, while the store answers.
    std::vector<FleetMember> preferredSiblings() const;
    /// Returns the newest records from a sibling; nothing when none has them.
    boost::asio::awaitable<std::optional<FleetPage>> newestFromSiblings(FleetTopic topic);
    /// Returns whether other instances of the data centre may read through this instance.
    bool mayHaveFollowers() const;
    /// Returns how long a sibling may hold a query.
    std::chrono::milliseconds siblingWait(FleetTopic topic) const;
    /// Returns the pause between two reads of the store.
    std::chrono::milliseconds storeReadPause(FleetTopic topic) const;
    /// Returns the pause after a failed read of the store while siblings have recent data.
    std::chrono::milliseconds storeRetryPause(FleetTopic topic) const;
    /// Returns how long a read of the store may wait for new records.
    std::chrono::milliseconds storeReadWait(FleetTopic topic,
                                            std::chrono::milliseconds requested) const;
    /// Returns the maximum age of the data of a log.
    std::chrono::milliseconds maxAgeOf(FleetTopic topic) const;
    boost::asio::awaitable<FleetPage> readStore(FleetTopic topic, LogPosition from,
                                                std::chrono::milliseconds wait);
    /// Logs that the answer to a read of this time is late, with the age of what is known instead.
    void logLateRead(FleetTopic topic, Core::Clock::Monotonic requestTime);
    /// Records that a read of the store failed, or that a sibling had newer records before it
    /// ended.
    void noteStoreFailure(FleetTopic topic);
    struct PendingRead;
    /// Makes a call that reads the store; the name of the call is for log and metrics.
    std::shared_ptr<PendingRead> startStoreRead(const boost::asio::any_io_executor &executor,
                                                FleetTopic topic, std::string_view name,
                                                boost::asio::awaitable<FleetPage> call);
    /// Ends a late read and starts the call in its place, on a new connection. Returns the late one
    /// if it has ended meanwhile, or if the store is known to fail.
    boost::asio::awaitable<std::shared_ptr<PendingRead>>
    repeatRead(std::shared_ptr<PendingRead> late, FleetTopic topic, std::string_view name,
               std::function<boost::asio::awaitable<FleetPage>()> call);
    /// Waits for the end of the read; throws Error if it failed.
    boost::asio::awaitable<FleetPage> finishRead(std::shared_ptr<PendingRead> read);
    /// Reads the store, or a sibling that has newer records while the store's answer is late. A
    /// late read is repeated once.
    boost::asio::awaitable<FleetPage> readRepeatedly(FleetTopic topic, LogPosition from,
                                                     std::chrono::milliseconds wait);
    /// Returns nothing when no sibling has newer records than this instance.
    boost::asio::awaitable<std::optional<FleetPage>> readNewerFromSibling(FleetTopic topic,
                                                                          LogPosition from);
    /// Returns nothing when no sibling has recent enough data.
    boost::asio::awaitable<std::optional<FleetPage>>
    readSiblings(FleetTopic topic, LogPosition from, std::chrono::milliseconds wait);
    /// Returns nothing, and skips the sibling for a while, when it has no useful data.
    boost::asio::awaitable<std::optional<FleetPage>> querySibling(FleetMember sibling,
                                                                  FleetTopic topic,
                                                                  LogPosition from,
                                                                  std::chrono::milliseconds wait);
    std::optional<FleetMember> chooseSibling(const TopicState &state) const;
    bool isSkipped(const FleetMember &member) const;
    void noteStoreCall(FleetTopic topic, std::string_view call) const;
    bool isUseful(FleetTopic topic, const FleetPage &page) const;
    void noteEra(LogPosition position) { m_era = std::max(m_era, position.era()); }
    void noteSource(FleetTopic topic, const Core::InstanceId &source, const std::string &reason);

    Dependencies m_dependencies;
    std::map<FleetTopic, TopicState> m_topics;
    /// The sibling to query while the store does not answer; advances when its data is not newer.
    std::size_t m_siblingIndex = 0;
    std::uint64_t m_era = 0;
    /// Siblings that did not answer or had old data, with the time until which they are skipped.
    std::map<Core::InstanceId, Core::Clock::Monotonic> m_skippedUntil;
};

/// Returns the name of the log in events and metrics.
std::string_view nameOf(FleetTopic topic);

} // namespace Gateway
