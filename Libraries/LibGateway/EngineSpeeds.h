#pragma once

#include <LibCapacity/SpeedTable.h>
#include <LibGateway/UpstreamFleet.h>

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Gateway {

/// The speeds of the engines of all services. Applies them to the upstreams and to the rates of the
/// services while the engines of a service are uneven.
class EngineSpeeds
{
public:
    using Origin = Capacity::SpeedTable::Origin;
    using Report = Capacity::SpeedTable::Report;
    struct Dependencies
    {
        const Core::Clock &clock;
        UpstreamFleet &fleet;
        /// Sets the rate of the service's median engine, in tokens per millisecond; empty while the
        /// engines are even, so that the common rate of the service applies.
        std::function<void(const std::string &service, std::optional<double> rate)> setRate;
        /// Whether prompts are placed by the speeds. If it is empty, they are.
        std::function<bool()> isInForce = {};
    };

    explicit EngineSpeeds(Dependencies dependencies);

    /// Adds a prompt that an engine prefilled, as measured by the keeper of its queue.
    void addSample(const Capacity::SpeedTable::Sample &sample);
    /// Applies the report of another instance. Engines that are not listed are ignored.
    void apply(const Report &report, Origin origin);
    /// Returns the estimates of all services of the given origin.
    std::vector<Report> reports(Origin origin) const;

    /// Applies the estimates to the upstreams.
    void refresh();
    /// Refreshes periodically until the process ends.
    boost::asio::awaitable<void> run();

    /// Returns the services and whether their engines are uneven.
    std::vector<std::pair<std::string, bool>> services() const;
    /// Returns the speed of an engine relative to the median of its service; 1 if unknown.
    double relativeSpeed(const Upstream &engine) const;

private:
    struct Service
    {
        Capacity::SpeedTable table;
        bool wasUneven = false;
    };
    Service &serviceOf(const Upstream &engine);
    void refresh(const std::string &name, Service &service);
    void logChange(const std::string &name, const Service &service) const;

    Dependencies m_dependencies;
    std::map<std::string, Service> m_services;
};

} // namespace Gateway
