#include <LibCore/EventLog.h>
#include <LibGateway/EngineSpeeds.h>
#include <LibGateway/FleetWatcher.h>

#include <cmath>

namespace Gateway {

using namespace std::chrono_literals;

namespace {

// Shorter than the interval of reports in a large fleet.
constexpr auto RefreshInterval = 250ms;
constexpr double Percent = 100;

std::string formatPercent(double ratio)
{
    return std::to_string(std::lround(Percent * ratio));
}

} // namespace

EngineSpeeds::EngineSpeeds(Dependencies dependencies)
    : m_dependencies(std::move(dependencies))
{ }

EngineSpeeds::Service &EngineSpeeds::serviceOf(const Upstream &engine)
{
    const auto [it, isNew] = m_services.try_emplace(engine.report().service);
    if (!isNew)
        return it->second;
    it->second.table.onSpeedChanged = [this](std::uint64_t upstream, double before, double after) {
        if (const auto changed = m_dependencies.fleet.findByHash(upstream))
            Core::logEvent(Core::EventId::UpstreamSpeedChanged,
                           {{"upstream", changed->report().id.value()},
                            {"service", changed->report().service},
                            {"before_percent", formatPercent(before)},
                            {"speed_percent", formatPercent(after)}});
    };
    return it->second;
}

void EngineSpeeds::addSample(const Capacity::SpeedTable::Sample &sample)
{
    if (const auto engine = m_dependencies.fleet.findByHash(sample.upstream))
        serviceOf(*engine).table.addSample(sample, m_dependencies.clock.now());
}

void EngineSpeeds::apply(const Report &report, Origin origin)
{
    if (const auto engine = m_dependencies.fleet.findByHash(report.upstream))
        serviceOf(*engine).table.noteReport(report, origin, m_dependencies.clock.now());
}

std::vector<EngineSpeeds::Report> EngineSpeeds::reports(Origin origin) const
{
    std::vector<Report> all;
    for (const auto &[name, service] : m_services) {
        const auto reports = service.table.reports(origin, m_dependencies.clock.now());
        all.insert(all.end(), reports.begin(), reports.end());
    }
    return all;
}

void EngineSpeeds::refresh()
{
    for (auto &[name, service] : m_services)
        refresh(name, service);
}

void EngineSpeeds::refresh(const std::string &name, Service &service)
{
    auto &table = service.table;
    table.removeUnless([this](std::uint64_t upstream) {
        return m_dependencies.fleet.findByHash(upstream) != nullptr;
    });
    table.refresh(m_dependencies.clock.now());
    const bool isUneven = table.isUneven();
    const bool isInForce = isUneven && (!m_dependencies.isInForce || m_dependencies.isInForce());
    m_dependencies.setRate(name, isInForce ? std::optional(table.medianRate()) : std::nullopt);
    for (const auto &engine : m_dependencies.fleet.members(name))
        engine->setSpeed(isInForce ? std::optional(
                             table.relativeSpeed(UpstreamFleet::hashOf(engine->report().id)))
                                   : std::nullopt);
    if (isUneven != std::exchange(service.wasUneven, isUneven))
        logChange(name, service);
}

void EngineSpeeds::logChange(const std::string &name, const Service &service) const
{
    Core::logEvent(Core::EventId::ServiceUnevenChanged,
                   {{"service", name},
                    {"uneven", service.table.isUneven() ? "true" : "false"},
                    {"median_tokens_per_second",
                     std::to_string(std::lround(1'000 * service.table.medianRate()))}});
}

boost::asio::awaitable<void> EngineSpeeds::run()
{
    for (;;) {
        co_await sleepFor(RefreshInterval);
        refresh();
    }
}

std::vector<std::pair<std::string, bool>> EngineSpeeds::services() const
{
    std::vector<std::pair<std::string, bool>> services;
    for (const auto &[name, service] : m_services)
        services.emplace_back(name, service.table.isUneven());
    return services;
}

double EngineSpeeds::relativeSpeed(const Upstream &engine) const
{
    const auto it = m_services.find(engine.report().service);
    return it == m_services.end()
               ? 1
               : it->second.table.relativeSpeed(UpstreamFleet::hashOf(engine.report().id));
}

} // namespace Gateway
