#include <LibGateway/Gateway.h>
#include <LibGateway/RequestRelay.h>

namespace Gateway {

namespace {

// What is sent now may reach an upstream this much later.
constexpr std::chrono::milliseconds RevocationMargin {400};

} // namespace

Gateway::Gateway(GatewayParts parts)
    : m_parts(parts)
    , m_random(std::random_device {}())
{ }

boost::asio::awaitable<void> Gateway::handle(Http::ServerExchange &exchange)
{
    RequestRelay relay(*this, exchange);
    co_await relay.run();
}

bool Gateway::knowsKeys() const
{
    return m_parts.configuration.age(m_parts.clock.now())
           < m_parts.settings.revocationBound - RevocationMargin;
}

bool Gateway::isReady() const
{
    // Without the members no request could be sent again after a failure.
    return !m_isDraining && m_parts.configuration.current() && knowsKeys()
           && !m_parts.fleet.all().empty() && m_instances;
}

} // namespace Gateway
