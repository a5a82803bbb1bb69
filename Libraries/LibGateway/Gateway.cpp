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
    , m_servingSince(m_dependencies.clock.now())
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

std::optional<unsigned> Gateway::slackSharers() const
{
    // The process before this one may have used this instance's part.
    const auto uptime = m_dependencies.clock.now() - m_servingSince;
    if (m_hasPredecessor && uptime < m_dependencies.settings.retries.window)
        return std::nullopt;
    return m_instanceCount;
}

bool Gateway::tryRepeat(const std::string &service)
{
    return m_retries[service].tryRepeat(m_dependencies.settings.retries, slackSharers(),
                                        m_dependencies.clock.now());
}

RetryBudgetShare::Use Gateway::retryUse(const std::string &service)
{
    return m_retries[service].use(m_dependencies.settings.retries, slackSharers(),
                                  m_dependencies.clock.now());
}

bool Gateway::isReady() const
{
    // While the number of members is unknown, the retry budget has no slack, so a failed request
    // might not be retried.
    return !m_isDraining && m_dependencies.configuration.current() && hasUpToDateKeys()
           && !m_dependencies.fleet.all().empty() && m_instanceCount;
}

} // namespace Gateway
