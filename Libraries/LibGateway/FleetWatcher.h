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
#include <string>

namespace Gateway {

/// Follows what operators and upstreams write to the store, and keeps the configuration, the named
/// weights and the list of upstreams up to date.
class FleetWatcher
{
public:
    struct Parts
    {
        FleetLog &log;
        const RecordDecoder &decoder;
        const Core::Clock &clock;
        ConfigurationState &configuration;
        WeightsTargets &weights;
        UpstreamFleet &fleet;
    };

    FleetWatcher(Parts parts, std::function<void()> onConfiguration);

    /// Follows the operators' records until the process ends.
    boost::asio::awaitable<void> watchOperator();
    /// Follows the upstreams' records until the process ends.
    boost::asio::awaitable<void> watchUpstreams();

    /// Whether the list of upstreams was read at least once.
    bool hasUpstreams() const { return m_hasUpstreams; }

    /// Takes records as they were read. Public for tests.
    void applyOperator(const FleetRecord &record);
    void applyUpstream(const FleetRecord &record);
    /// Takes off the list what lapsed while the store was in trouble and did not come back.
    void dropLapsed();
    /// Notes that the store did not answer, or answers again.
    void noteStore(FleetTopic topic, bool isAnswering, const std::string &reason);

private:
    boost::asio::awaitable<void> followOperator();
    boost::asio::awaitable<void> followUpstreams();

    Parts m_parts;
    std::function<void()> m_onConfiguration;
    std::map<FleetTopic, bool> m_isDown;
    Core::Clock::Monotonic m_storeTrouble = Core::Clock::Monotonic::min();
    /// Entries that vanished around trouble of the store, with the time they may come back until.
    std::map<std::string, Core::Clock::Monotonic> m_lapsed;
    bool m_hasUpstreams = false;
};

/// Waits without blocking the thread.
boost::asio::awaitable<void> sleepFor(std::chrono::milliseconds time);

} // namespace Gateway
