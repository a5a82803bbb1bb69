#include <LibGateway/Gateway.h>
#include <LibGateway/RequestRelay.h>

namespace Gateway {

namespace {

// A request that is sent now may reach the upstream this much later.
constexpr std::chrono::milliseconds RevocationMargin {400};

} // namespace

Gateway::Gateway(GatewayDependencies dependencies)
    : m_dependencies(dependencies)
    , m_random(std::random_device {}())
{ }

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

bool Gateway::mayTryPart(std::uint64_t part)
{
    return (!isTryingPart || isTryingPart(part))
           && m_poisonParts.mayTry(part, m_dependencies.clock.now());
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
