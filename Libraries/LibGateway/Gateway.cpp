#include <LibGateway/Gateway.h>
#include <LibGateway/RequestQueue.h>
#include <LibGateway/RequestRelay.h>

namespace Gateway {

namespace {

// A request that is sent now may reach the upstream this much later.
constexpr std::chrono::milliseconds RevocationMargin {400};

} // namespace

Gateway::Gateway(GatewayDependencies dependencies)
    : m_dependencies(dependencies)
    , m_random(std::random_device {}())
    , m_queue(std::make_shared<RequestQueue>(dependencies.clock, dependencies.configuration))
{
    m_metrics.addGauge("jujube_gateway_waiting",
                       "Requests that wait for capacity at this instance, by route.", "route",
                       [this] {
                           std::vector<Metrics::Gauge::Sample> samples;
                           for (const auto &[route, count] : m_queue->room().sizes())
                               samples.push_back({route, static_cast<double>(count)});
                           return samples;
                       });
}

Gateway::~Gateway() = default;

boost::asio::awaitable<void> Gateway::handle(Http::ServerExchange &exchange)
{
    RequestRelay relay(*this, exchange);
    co_await relay.run();
}

bool Gateway::hasUpToDateKeys() const
{
    return m_dependencies.configuration.age(m_dependencies.clock.now())
           < m_dependencies.settings.revocationBound - RevocationMargin;
}

bool Gateway::mayTryCause(std::uint64_t cause)
{
    return (!isTryingCause || isTryingCause(cause))
           && m_poison.mayTry(cause, m_dependencies.clock.now());
}

bool Gateway::tryRepeat(const std::string &service)
{
    const auto &limits = m_dependencies.settings.retries;
    const auto now = m_dependencies.clock.now();
    return m_retries[service].tryRepeat(limits, m_retrySlack.part(limits.window, now), now);
}

RetryBudgetShare::Use Gateway::retryUse(const std::string &service)
{
    const auto &limits = m_dependencies.settings.retries;
    const auto now = m_dependencies.clock.now();
    return m_retries[service].use(limits, m_retrySlack.part(limits.window, now), now);
}

void Gateway::beginStop(std::chrono::milliseconds grace)
{
    m_plannedStop.begin(m_dependencies.clock.now(), grace);
    m_queue->wakeAll();
}

void Gateway::endRequests()
{
    for (auto *request : *m_activeRequests)
        request->end();
}

bool Gateway::isReady() const
{
    // Without the number of members, the usage caps have no share.
    return !m_plannedStop.hasBegun() && m_dependencies.configuration.current() && hasUpToDateKeys()
           && !m_dependencies.fleet.all().empty() && m_instanceCount;
}

} // namespace Gateway
