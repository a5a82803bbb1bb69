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

bool Gateway::isReady() const
{
    // While the number of members is unknown, the retry budget has no slack, so a failed request
    // might not be retried.
    return !m_isDraining && m_dependencies.configuration.current() && hasUpToDateKeys()
           && !m_dependencies.fleet.all().empty() && m_instanceCount;
}

} // namespace Gateway
