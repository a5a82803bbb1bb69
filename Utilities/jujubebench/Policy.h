#pragma once

#include "FakeEngine.h"
#include "Workload.h"

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace Bench {

/// A routing policy of all instances together. Each call names the instance that acts, and a
/// policy keeps one state an instance, except an oracle.
class Policy
{
public:
    virtual ~Policy() = default;

    /// Chooses one of the candidate engines (indexes, not empty).
    virtual std::size_t choose(std::size_t instance, const WorkItem &item,
                               std::span<const std::size_t> candidates) = 0;
    /// The engine accepted the request.
    virtual void sent(std::size_t, const WorkItem &, std::size_t) { }
    /// The first token came, with the number of cached tokens that the engine reported.
    virtual void firstToken(std::size_t, const WorkItem &, std::size_t, std::uint64_t) { }
    /// The answer ended.
    virtual void finished(std::size_t, const WorkItem &, std::size_t) { }
    /// The engine refused the connection or broke it. The item is the one that found out.
    virtual void failed(std::size_t, const WorkItem &, std::size_t) { }
    /// A load report arrived.
    virtual void loadReport(std::size_t, std::size_t, const EngineLoad &) { }
    /// A cache event of an incarnation arrived, the given time after the change.
    virtual void cacheEvent(std::size_t, std::size_t, std::uint64_t, CacheChange, std::uint64_t,
                            std::chrono::milliseconds)
    { }
    /// The time to tell the siblings what is new since the last time.
    virtual void exchange(std::size_t, std::span<const std::size_t>, std::chrono::milliseconds) { }
    /// The instance lost its state. A sibling that kept its own may hand state over.
    virtual void restarted(std::size_t, std::optional<std::size_t>) { }
};

/// What a policy is made from.
struct PolicyContext
{
    const EventQueue *queue = nullptr;
    /// Perfect knowledge, for oracles only.
    const std::vector<std::unique_ptr<FakeEngine>> *engines = nullptr;
    std::size_t instances = 1;
    std::uint64_t seed = 1;
    /// Settings of our placement to try, as name=value.
    std::vector<std::string> overrides;
};

/// Makes the policy of a name, or null when the name is unknown.
std::unique_ptr<Policy> makePolicy(const std::string &name, const PolicyContext &context);

/// The policies that every placement scenario compares, in the order of their rows.
std::span<const std::string> comparedPolicies();

/// Our policy with one part switched off each.
std::span<const std::string> ablationPolicies();

} // namespace Bench
