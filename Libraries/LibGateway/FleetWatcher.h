#pragma once

#include <LibCore/Clock.h>
#include <LibGateway/ConfigurationState.h>
#include <LibGateway/FleetLog.h>
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

namespace Gateway {

/// Follows what operators and upstreams write to the store, and keeps the configuration, the named
/// weights and the list of upstreams up to date.
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
    };

    FleetWatcher(Dependencies dependencies, std::function<void()> onConfigurationChanged);

    /// Follows the operators' records until the process ends.
    boost::asio::awaitable<void> watchOperator();
    /// Follows the upstreams' records until the process ends.
    boost::asio::awaitable<void> watchUpstreams();

    /// Takes records as they were read. Public for tests.
    void applyOperator(const FleetRecord &record);
    void applyUpstream(const FleetRecord &record);
    /// Takes off the list what lapsed while the store was in trouble and did not come back.
    void applyPendingRemovals();
    /// Notes that neither the store nor a sibling answered, or that one does again.
    void noteStoreStatus(FleetTopic topic, bool isAnswering, const std::string &reason);
    /// Notes when the store last gave no answer to whoever read a page.
    void noteStoreFailure(Core::Clock::Monotonic time);

private:
    /// Reads on for ever. Throws Error when no read was answered; the next call goes on there.
    boost::asio::awaitable<void> followOperator();
    boost::asio::awaitable<void> followUpstreams();
    void applyOperatorPage(const FleetPage &page);
    void applyUpstreamsPage(const FleetPage &page);
    /// Takes off the list what a fresh list no longer holds.
    void dropUnlisted(const FleetPage &page);

    Dependencies m_dependencies;
    std::function<void()> m_onConfigurationChanged;
    std::map<FleetTopic, bool> m_isDown;
    /// Where to read on; none before the first read and after records were missed.
    std::optional<std::uint64_t> m_nextOperatorOffset;
    std::optional<std::uint64_t> m_nextUpstreamsOffset;
    Core::Clock::Monotonic m_lastStoreFailure = Core::Clock::Monotonic::min();
    /// Entries that vanished around trouble of the store, with the time they may come back until.
    std::map<std::string, Core::Clock::Monotonic> m_pendingRemovals;
};

/// Waits without blocking the thread.
boost::asio::awaitable<void> sleepFor(std::chrono::milliseconds time);

} // namespace Gateway
