#include <LibCore/EventLog.h>
#include <LibRouter/Instance.h>
#include <LibRouter/PolicyBuilder.h>

#include <array>

namespace Router {

namespace {
constexpr std::size_t MaxKeptDocuments = 64;
}

Instance::Instance(const Core::Clock &clock, RouterSettings settings)
    : m_clock(clock)
    , m_settings(std::move(settings))
    , m_placement(clock, Placement::PlacementSettings {})
    , m_directory(m_placement, {{},
                                [](const UpstreamPtr &upstream) {
                                    Core::logEvent(Core::EventId::UpstreamLeaving,
                                                   {{"upstream", upstream->id().value()}});
                                }})
    , m_admission(
          Admission::Controller::create(clock, {m_settings.instance, m_settings.incarnation}, {})
              .value())
    , m_usage(clock)
    , m_suspects(clock, Admission::SuspectSettings {})
    , m_configuration(std::make_shared<ConfigurationInForce>())
{ }

Admission::RetryBudget &Instance::retryBudget(const Core::UpstreamGroupId &group)
{
    const std::scoped_lock lock(m_budgetMutex);
    auto &budget = m_budgets[group];
    if (!budget) {
        // A change of the group's budget takes effect when the instance restarts.
        Admission::RetryBudgetSettings settings;
        const auto document = configuration().document;
        if (const auto *rules = document ? document->upstreamGroup(group.value()) : nullptr) {
            settings.share = rules->retryBudget.value();
            settings.minPerSecond = rules->retriesPerSecond;
        }
        budget = std::make_unique<Admission::RetryBudget>(settings);
    }
    return *budget;
}

void Instance::noteCrash(std::uint64_t crash, Admission::RequestDigest digest)
{
    const std::array running {digest};
    m_suspects.noteCrash(crash, running);
    if (m_crashHook)
        m_crashHook();
}

void Instance::refreshSlots()
{
    const auto document = configuration().document;
    if (!document)
        return;
    for (const auto &group : document->upstreamGroups())
        m_admission->setSlots(group.id, countSlots(group, m_directory));
}

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
    // The validator has already checked the shares, so the policy is accepted.
    m_admission->configure(buildAdmissionPolicy(*next.document, m_directory)).value();
    m_documents[next.generation] = next.document;
    if (m_documents.size() > MaxKeptDocuments)
        m_documents.erase(m_documents.begin());
    m_configuration.replace(std::make_shared<ConfigurationInForce>(std::move(next)));
}

std::shared_ptr<const Configuration::Document>
Instance::documentForGeneration(std::uint64_t generation) const
{
    const std::scoped_lock lock(m_configurationWriter);
    const auto found = m_documents.find(generation);
    return found == m_documents.end() ? configuration().document : found->second;
}

void Instance::drain()
{
    if (!m_draining.exchange(true))
        Core::logEvent(Core::EventId::DrainStarted);
}

void Instance::tickAdmission()
{
    m_admission->tick();
    const auto document = configuration().document;
    if (!document)
        return;
    for (const auto &group : document->upstreamGroups())
        m_usage.noteShare(group.id, m_admission->status(group.id).share);
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
