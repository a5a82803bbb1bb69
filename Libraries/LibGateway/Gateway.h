#pragma once

#include <LibAdmission/TeamRoom.h>
#include <LibCapacity/EngineMemory.h>
#include <LibCapacity/ServiceRoom.h>
#include <LibCore/Clock.h>
#include <LibGateway/ConfigurationState.h>
#include <LibGateway/EngineModel.h>
#include <LibGateway/EngineQueueExchange.h>
#include <LibGateway/GatewayMetrics.h>
#include <LibGateway/GatewaySettings.h>
#include <LibGateway/KvCacheStores.h>
#include <LibGateway/PlannedStop.h>
#include <LibGateway/PoisonTable.h>
#include <LibGateway/PromptAdmission.h>
#include <LibGateway/QuotaExchange.h>
#include <LibGateway/RateLimitExchange.h>
#include <LibGateway/RequestDialect.h>
#include <LibGateway/RetryBudgetShare.h>
#include <LibGateway/RetrySlack.h>
#include <LibGateway/UpstreamFleet.h>
#include <LibGateway/WeightsTargets.h>
#include <LibHttp/Client.h>
#include <LibHttp/ServerExchange.h>
#include <LibHttp/UnreadAnswers.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace Gateway {

class RequestQueue;
class RequestRelay;

/// References to the services that request handling uses.
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

/// Handles callers' requests, and owns the state that their decisions share: prefill rates of
/// engines, retry budgets and the poison table.
class Gateway
{
public:
    explicit Gateway(GatewayDependencies dependencies);
    ~Gateway();

    /// Handles one request; suitable as a handler of Http::Server.
    boost::asio::awaitable<void> handle(Http::ServerExchange &exchange);

    /// Returns whether keys may be accepted: the configuration was confirmed recently enough that a
    /// revoked key cannot outlive the revocation bound.
    bool hasUpToDateKeys() const;
    /// Returns whether the load balancer should send new callers to this instance.
    bool isReady() const;
    /// Sets the number of instances that share the usage caps and the connection limits of
    /// upstreams.
    void setInstanceCount(unsigned count) { m_instanceCount = count; }
    /// Returns the number of instances; empty until the members are known.
    std::optional<unsigned> instanceCount() const { return m_instanceCount; }
    /// Returns this instance's part of the slack of the retry budgets.
    RetrySlack &retrySlack() { return m_retrySlack; }
    /// Consumes one retry of the service's budget. Returns false if this instance's share of it is
    /// used up.
    bool tryRepeat(const std::string &service);
    /// Returns the use of this instance's share of the service's budget.
    RetryBudgetShare::Use retryUse(const std::string &service);
    /// Makes isReady() return false, and refuses requests that could not finish within the grace
    /// period.
    void beginStop(std::chrono::milliseconds grace);
    const PlannedStop &plannedStop() const { return m_plannedStop; }
    /// Ends the requests that are still running, before the process exits: each gets an answer that
    /// says whether it may have run, unless part of its own answer was relayed.
    void endRequests();
    /// The requests that are running. Shared, since a request may be destroyed after the gateway.
    using ActiveRequests = std::set<RequestRelay *>;
    const std::shared_ptr<ActiveRequests> &activeRequests() const { return m_activeRequests; }

    const GatewayDependencies &dependencies() const { return m_dependencies; }
    GatewayMetrics &metrics() { return m_metrics; }
    KvCacheStores &stores() { return m_stores; }
    PoisonTable &poison() { return m_poison; }
    /// Returns whether this instance may send one request with the cause of crashes, to find out
    /// whether it still crashes upstreams.
    bool mayTryCause(std::uint64_t cause);
    EngineModel &engineModel(const std::string &service) { return m_models[service]; }
    /// Returns what is learned of the memory of the service's engines.
    Capacity::EngineMemory &engineMemory(const std::string &service) { return m_memory[service]; }
    RetryBudgetShare &retries(const std::string &service) { return m_retries[service]; }
    ReturningCallers &returningCallers(const std::string &route) { return m_returning[route]; }
    /// The requests that wait for capacity at this instance.
    RequestQueue &queue() { return *m_queue; }
    /// The division of scarce engines among teams.
    Admission::TeamRoom &teamRoom() { return m_teamRoom; }
    /// The answer times of a plain service's upstreams, by which requests for it are admitted.
    Capacity::ServiceRoom &serviceRoom(const std::string &service) { return m_rooms[service]; }
    /// The queues of engines; null if instances decide by load reports alone.
    EngineQueueExchange *engineQueues() const { return m_engineQueues; }
    void setEngineQueues(EngineQueueExchange *queues) { m_engineQueues = queues; }
    /// The usage caps of teams; null if they are not enforced.
    QuotaExchange *quotas() const { return m_quotas; }
    void setQuotas(QuotaExchange *quotas) { m_quotas = quotas; }
    /// The limits that upstreams name; null if they are not enforced.
    RateLimitExchange *rateLimits() const { return m_rateLimits; }
    void setRateLimits(RateLimitExchange *limits) { m_rateLimits = limits; }
    /// The answers that are being sent to callers. Shared, since a request may be destroyed after
    /// the gateway.
    const std::shared_ptr<Http::UnreadAnswers> &unreadAnswers() const { return m_unreadAnswers; }
    std::minstd_rand &random() { return m_random; }

    /// Called when a request of this instance was lost because its upstream crashed.
    std::function<void(const Casualty &)> onCasualty;
    /// Returns whether this instance is the one that tries a cause of crashes again. If it is
    /// empty, there are no others.
    std::function<bool(std::uint64_t cause)> isTryingCause;
    /// Called when an engine has prefilled the parts of a prompt.
    std::function<void(const Upstream &, std::span<const PromptPart>)> onPartsRead;
    /// Called when an engine has saved prompt parts to a store. The parts are as
    /// KvCacheStore::storedParts() returns them.
    std::function<void(const KvCacheStore &, std::span<const PromptPart>)> onPartsStored;
    /// Called when an upstream must not receive new requests for the given time.
    std::function<void(const Upstream &, std::chrono::milliseconds)> onPause;
    /// Called when an upstream could not be reached.
    std::function<void(const Upstream &)> onUnreachable;
    /// Called when an engine refused a request because its weights differ from the expected
    /// version.
    std::function<void(const std::shared_ptr<Upstream> &)> onWeightsMismatch;
    /// Called when an answer reported newer weights than were known.
    std::function<void(const Upstream &, const std::string &model, std::uint64_t version)>
        onWeightsSeen;

private:
    GatewayDependencies m_dependencies;
    GatewayMetrics m_metrics;
    KvCacheStores m_stores;
    PoisonTable m_poison;
    std::map<std::string, EngineModel> m_models;
    std::map<std::string, Capacity::EngineMemory> m_memory;
    std::map<std::string, RetryBudgetShare> m_retries;
    std::map<std::string, Capacity::ServiceRoom> m_rooms;
    RetrySlack m_retrySlack;
    Admission::TeamRoom m_teamRoom;
    std::map<std::string, ReturningCallers> m_returning;
    EngineQueueExchange *m_engineQueues = nullptr;
    QuotaExchange *m_quotas = nullptr;
    RateLimitExchange *m_rateLimits = nullptr;
    std::minstd_rand m_random;
    std::optional<unsigned> m_instanceCount;
    PlannedStop m_plannedStop;
    std::shared_ptr<RequestQueue> m_queue;
    std::shared_ptr<ActiveRequests> m_activeRequests = std::make_shared<ActiveRequests>();
    std::shared_ptr<Http::UnreadAnswers> m_unreadAnswers = std::make_shared<Http::UnreadAnswers>();
};

} // namespace Gateway
