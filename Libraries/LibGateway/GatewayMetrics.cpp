#include <LibGateway/GatewayMetrics.h>

namespace Gateway {

GatewayMetrics::GatewayMetrics()
{
    m_registry.add(requests);
    m_registry.add(refusals);
    m_registry.add(attempts);
    m_registry.add(promptTokens);
    m_registry.add(keptTokens);
    m_registry.add(orders);
    m_registry.add(firstByte);
    m_registry.add(expectedFirst);
}

} // namespace Gateway
