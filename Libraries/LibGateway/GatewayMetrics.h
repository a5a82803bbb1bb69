#pragma once

#include <LibMetrics/Counter.h>
#include <LibMetrics/DurationHistogram.h>
#include <LibMetrics/Gauge.h>
#include <LibMetrics/Registry.h>

#include <memory>
#include <string>
#include <vector>

namespace Gateway {

/// The metrics of an instance's requests. The class label holds the name of the route.
class GatewayMetrics
{
public:
    GatewayMetrics();

    Metrics::Counter requests {"jujube_gateway_requests_total", "Requests by outcome.", "outcome"};
    Metrics::Counter refusals {"jujube_gateway_refusals_total",
                               "Requests refused by this instance, by reason.", "reason"};
    Metrics::Counter memoryRefusals {
        "jujube_gateway_memory_refusals_total",
        "Prompts refused and answers dropped for lack of memory, by cause.", "cause"};
    Metrics::Counter attempts {"jujube_gateway_attempts_total", "Attempts by outcome.", "end"};
    Metrics::Counter promptTokens {"jujube_gateway_prompt_tokens_total",
                                   "Prompt tokens of requests sent to engines."};
    Metrics::Counter cachedTokens {"jujube_gateway_kept_tokens_total",
                                   "Prompt tokens estimated to be in the engine's prefix cache."};
    Metrics::Counter retries {"jujube_gateway_retries_total",
                              "Further attempts that the retry budget allowed or refused.",
                              "outcome"};
    Metrics::Counter orders {"jujube_gateway_orders_total", "Orders to engines by outcome.",
                             "outcome"};
    Metrics::Counter storeCalls {"jujube_gateway_store_calls_total",
                                 "Calls to the store, by log and kind.", "call"};
    Metrics::DurationHistogram firstByte {
        "jujube_gateway_first_byte_seconds",
        "Time from the arrival of a request to the start of its answer."};
    Metrics::DurationHistogram expectedFirstToken {
        "jujube_gateway_expected_first_token_seconds",
        "Expected time to the first token when the engine was chosen."};
    Metrics::DurationHistogram waited {
        "jujube_gateway_waited_seconds",
        "Time for which requests were queued at this instance, until they were sent or refused."};
    Metrics::DurationHistogram weightsOutdated {
        "jujube_gateway_outdated_weights_seconds",
        "Time since newer weights were named, of prompts that began on outdated ones."};

    /// Registers a gauge whose values are read at each scrape.
    void addGauge(std::string name, std::string help, std::string labelName,
                  Metrics::Gauge::Reader read);

    /// Returns all metrics in the Prometheus text format.
    std::string render() const { return m_registry.render(); }

private:
    std::vector<std::unique_ptr<Metrics::Gauge>> m_gauges;
    Metrics::Registry m_registry;
};

} // namespace Gateway
