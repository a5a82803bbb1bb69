#pragma once

#include "FakeEngine.h"
#include "Workload.h"

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace Bench {

/// Routing policy for all instances. Each call names the acting instance. Every policy except an
/// oracle keeps separate state for each instance.
class Policy
{
public:
    virtual ~Policy() = default;

    /// Chooses one of the candidate engines. The candidates are engine indexes and never empty.
    virtual std::size_t choose(std::size_t instance, const WorkItem &item,
                               std::span<const std::size_t> candidates) = 0;
    /// Called when the engine has accepted the request.
    virtual void sent(std::size_t, const WorkItem &, std::size_t) { }
    /// Called at the first token, with the number of cached tokens that the engine reported.
    virtual void firstToken(std::size_t, const WorkItem &, std::size_t, std::uint64_t) { }
    /// Called when the response is complete.
    virtual void finished(std::size_t, const WorkItem &, std::size_t) { }
    /// Called when the engine refuses a connection or fails during a request. The item is the
    /// request that detected the failure.
    virtual void failed(std::size_t, const WorkItem &, std::size_t) { }
    /// Called when a load report arrives.
    virtual void loadReport(std::size_t, std::size_t, const EngineLoad &) { }
    /// Called when a cache event arrives, with the engine's incarnation and the time since the
    /// change.
    virtual void cacheEvent(std::size_t, std::size_t, std::uint64_t, CacheChange, std::uint64_t,
                            std::chrono::milliseconds)
    { }
    /// Called at each exchange interval to send the siblings the updates since the previous
    /// exchange.
    virtual void exchange(std::size_t, std::span<const std::size_t>, std::chrono::milliseconds) { }
    /// Called when the instance has lost its state. A sibling that kept its own state may transfer
    /// it.
    virtual void restarted(std::size_t, std::optional<std::size_t>) { }
};

/// Inputs for the creation of a policy.
struct PolicyContext
{
    const EventQueue *queue = nullptr;
    /// The actual engines; only for the oracle policies.
    const std::vector<std::unique_ptr<FakeEngine>> *engines = nullptr;
    std::size_t instances = 1;
    std::uint64_t seed = 1;
    /// Settings of LibPlacement to override, as name=value.
    std::vector<std::string> overrides;
};

/// Creates the policy with the given name. Returns null for an unknown name.
std::unique_ptr<Policy> makePolicy(const std::string &name, const PolicyContext &context);

/// Returns the policies that every placement scenario compares, in the order of their table rows.
std::span<const std::string> comparedPolicies();

/// Returns the variants of the LibPlacement policy that each have one part disabled.
std::span<const std::string> ablationPolicies();

} // namespace Bench
