#include <LibGateway/GatewayMetrics.h>

namespace Gateway {

GatewayMetrics::GatewayMetrics()
{
    m_registry.add(requests);
    m_registry.add(refusals);
    m_registry.add(memoryRefusals);
    m_registry.add(attempts);
    m_registry.add(promptTokens);
    m_registry.add(cachedTokens);
    m_registry.add(retries);
    m_registry.add(orders);
    m_registry.add(storeCalls);
    m_registry.add(firstByte);
    m_registry.add(expectedFirstToken);
    m_registry.add(waited);
    m_registry.add(weightsOutdated);
}

void GatewayMetrics::addGauge(std::string name, std::string help, std::string labelName,
                              Metrics::Gauge::Reader read)
{
    m_gauges.push_back(std::make_unique<Metrics::Gauge>(std::move(name), std::move(help),
                                                        std::move(labelName), std::move(read)));
    m_registry.add(*m_gauges.back());
}

} // namespace Gateway
