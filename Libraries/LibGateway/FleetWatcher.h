#pragma once

#include <LibCore/Clock.h>
#include <LibGateway/ConfigurationState.h>
#include <LibGateway/ExpiryOutages.h>
#include <LibGateway/FleetLog.h>
#include <LibGateway/GatewaySettings.h>
#include <LibGateway/RecordDecoder.h>
#include <LibGateway/UpstreamFleet.h>
#include <LibGateway/WeightsTargets.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace Gateway {

/// Reads the records of operators and upstreams from the store, and keeps the configuration, the
/// target weights and the list of upstreams up to date.
class FleetWatcher
{
public:
    struct Dependencies
    {
        FleetLog &log;
        const RecordDecoder &decoder;
        const Core::Clock &clock;
        ConfigurationState &configuration;
        WeightsTargets &weights;
        UpstreamFleet &fleet;
        /// May change at any time.
        const GatewaySettings &settings;
    };

    FleetWatcher(Dependencies dependencies, std::function<void()> onConfigurationChanged);

    /// Reads the operators' records until the process ends.
    boost::asio::awaitable<void> watchOperator();
    /// Reads the upstreams' records until the process ends.
    boost::asio::awaitable<void> watchUpstreams();

    /// Applies a record; the source, "store" or "sibling", is logged. Public for tests.
    void applyOperator(const FleetRecord &record, std::string_view source = "store");
    void applyUpstream(const FleetRecord &record);
    void applyUpstreamsPage(const FleetPage &page);
    /// Removes the upstreams whose entries disappeared around an outage of the store and were not
    /// restored in time.
    void applyPendingRemovals();
    /// Records whether the store or a sibling answered the last read of a topic.
    void noteStoreStatus(FleetTopic topic, bool isAnswering, const std::string &reason);

private:
    /// Reads until a read fails, then throws Error. The next call continues at the same position.
    boost::asio::awaitable<void> followOperator();
    boost::asio::awaitable<void> followUpstreams();
    void applyOperatorPage(const FleetPage &page);
    void applyTarget(const WeightsTarget &target);
    /// Returns the assumed age of weights that were named before the instance started or in an
    /// outage, until a sibling tells it.
    std::chrono::milliseconds assumedWeightsAge() const;
    /// Removes upstreams in time when no further page arrives before.
    boost::asio::awaitable<void> removePendingInTime();
    /// Removes the upstreams that are missing in a newly read list.
    void dropUnlisted(const FleetPage &page);
    /// Removes an upstream, or after an outage of the store as soon as it cannot be back any more.
    void removeUpstream(const std::string &key);

    Dependencies m_dependencies;
    std::function<void()> m_onConfigurationChanged;
    std::map<FleetTopic, bool> m_isDown;
    /// The position of the next read; empty before the first read and after a gap in the records.
    std::optional<LogPosition> m_nextOperator;
    std::optional<LogPosition> m_nextUpstreams;
    ExpiryOutages m_outages;
    /// Upstreams whose entries disappeared around an outage of the store.
    std::set<std::string> m_pendingRemovals;
    bool m_isRemovalScheduled = false;
};

/// Waits without blocking the thread.
boost::asio::awaitable<void> sleepFor(std::chrono::milliseconds time);

} // namespace Gateway
