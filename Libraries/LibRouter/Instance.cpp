#include <LibCore/EventLog.h>
#include <LibRouter/Instance.h>

namespace Router {

Instance::Instance(const Core::Clock &clock, RouterSettings settings)
    : m_clock(clock)
    , m_settings(std::move(settings))
    , m_placement(clock, Placement::PlacementSettings {})
    , m_directory(m_placement, {{},
                                [](const UpstreamPtr &upstream) {
                                    Core::logEvent(Core::EventId::UpstreamLeaving,
                                                   {{"upstream", upstream->id().value()}});
                                }})
    , m_configuration(std::make_shared<ConfigurationInForce>())
{ }

ConfigurationInForce Instance::configuration() const
{
    return m_configuration.read([](const auto &current) { return current; });
}

void Instance::setConfiguration(ConfigurationInForce next)
{
    const std::scoped_lock lock(m_configurationWriter);
    const auto current = configuration();
    if (current.document && next.generation <= current.generation)
        return;
    Core::logEvent(Core::EventId::ConfigurationInForce,
                   {{"generation", std::to_string(next.generation)}});
    m_configuration.replace(std::make_shared<ConfigurationInForce>(std::move(next)));
}

void Instance::drain()
{
    if (!m_draining.exchange(true))
        Core::logEvent(Core::EventId::DrainStarted);
}

bool Instance::isReady() const
{
    return !m_draining && configuration().document != nullptr;
}

std::string Instance::nextRequestId()
{
    return m_settings.instance.value() + '-' + std::to_string(m_settings.incarnation) + '-'
           + std::to_string(++m_requests);
}

} // namespace Router
