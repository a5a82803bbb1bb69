#pragma once

#include <LibCore/Clock.h>
#include <LibGateway/ConfigurationState.h>
#include <LibGateway/EngineModel.h>
#include <LibGateway/GatewayMetrics.h>
#include <LibGateway/GatewaySettings.h>
#include <LibGateway/KvCacheStores.h>
#include <LibGateway/PoisonRequestTable.h>
#include <LibGateway/RequestDialect.h>
#include <LibGateway/RetryBudgetShare.h>
#include <LibGateway/UpstreamFleet.h>
#include <LibGateway/WeightsTargets.h>
#include <LibHttp/Client.h>
#include <LibHttp/ServerExchange.h>

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>

namespace Gateway {

/// What a request's way through this instance works with.
struct GatewayDependencies
{
    const GatewaySettings &settings;
    const Core::Clock &clock;
    const RequestDialect &dialect;
    ConfigurationState &configuration;
    WeightsTargets &weights;
    UpstreamFleet &fleet;
    Http::Client &client;
};

/// Takes callers' requests, and holds what the decisions about them share: the rates of engines,
/// the retry budgets and the requests that break upstreams.
class Gateway
{
public:
    explicit Gateway(GatewayDependencies dependencies);

    /// Serves one request; a handler of Http::Server.
    boost::asio::awaitable<void> handle(Http::ServerExchange &exchange);

    /// Whether requests with keys may be sent: the knowledge of keys is younger than their
    /// revocation may take effect.
    bool hasUpToDateKeys() const;
    /// Whether this instance should get new callers.
    bool isReady() const;
    /// Sets how many instances share the retry budgets and upstreams' connections.
    void setInstanceCount(unsigned count) { m_instanceCount = count; }
    /// The number of instances; none until the members are known.
    std::optional<unsigned> instanceCount() const { return m_instanceCount; }
    /// From now on this instance is not ready, but serves on.
    void beginDrain() { m_isDraining = true; }
    /// From now on new requests are refused, since they could not be finished.
    void refuseAll() { m_isRefusing = true; }
    bool isRefusing() const { return m_isRefusing; }

    const GatewayDependencies &dependencies() const { return m_dependencies; }
    GatewayMetrics &metrics() { return m_metrics; }
    KvCacheStores &stores() { return m_stores; }
    PoisonRequestTable &poison() { return m_poison; }
    EngineModel &engineModel(const std::string &service) { return m_models[service]; }
    RetryBudgetShare &retries(const std::string &service) { return m_retries[service]; }
    std::minstd_rand &random() { return m_random; }

    /// Called with the digest of a request under which an upstream broke.
    std::function<void(std::uint64_t)> onUpstreamFailure;
    /// Called when an engine has read a prompt's parts.
    std::function<void(const Upstream &, std::span<const PromptPart>)> onPartsRead;
    /// Called when an engine has saved a prompt's parts, as KvCacheStore::storedParts() gives them.
    std::function<void(const KvCacheStore &, std::span<const PromptPart>)> onPartsStored;
    /// Called when an upstream is to get nothing for a while.
    std::function<void(const Upstream &, std::chrono::milliseconds)> onPause;
    /// Called when an upstream could not be reached.
    std::function<void(const Upstream &)> onUnreachable;
    /// Called when an engine refused a request for having other weights than were known.
    std::function<void(const std::shared_ptr<Upstream> &)> onWeightsMismatch;
    /// Called when an answer showed newer weights than were known.
    std::function<void(const Upstream &, const std::string &model, std::uint64_t version)>
        onWeightsSeen;

private:
    GatewayDependencies m_dependencies;
    GatewayMetrics m_metrics;
    KvCacheStores m_stores;
    PoisonRequestTable m_poison;
    std::map<std::string, EngineModel> m_models;
    std::map<std::string, RetryBudgetShare> m_retries;
    std::minstd_rand m_random;
    std::optional<unsigned> m_instanceCount;
    bool m_isDraining = false;
    bool m_isRefusing = false;
};

} // namespace Gateway
