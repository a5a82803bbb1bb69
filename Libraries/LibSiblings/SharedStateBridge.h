#pragma once

#include <LibMembership/SharedState.h>
#include <LibMembership/Snapshot.h>
#include <LibRouter/Instance.h>

#include <cstdint>
#include <functional>
#include <vector>

namespace Siblings {

/// Carries observations between an instance and the soft state that siblings share: the
/// configuration in force, suspect requests, leaving upstreams and hot prefixes. Run it on the
/// strand of its SharedState.
class SharedStateBridge
{
public:
    /// Told of a configuration generation at a sibling that is newer than the one in force here.
    using NewerConfigurationHook = std::function<void(std::uint64_t generation)>;

    SharedStateBridge(Router::Instance &instance, NewerConfigurationHook newerConfiguration);

    Membership::SharedState &state() { return m_state; }
    const Membership::SharedState &state() const { return m_state; }
    /// Publishes what this instance has observed since the last call.
    void publish();
    /// What a snapshot for this instance must fit.
    Membership::SnapshotContext snapshotContext() const;

private:
    void receive(const Membership::SharedItem &item, std::chrono::milliseconds age);
    void apply(const Membership::ConfigurationGeneration &generation);
    void apply(const Membership::PoisonCrash &crash, std::chrono::milliseconds age);
    void apply(const Membership::UpstreamHealth &health);
    void apply(const Membership::PrefixLocation &location, std::chrono::milliseconds age);
    /// Hands a sibling's prefix location to the placement; false while the upstream is not known
    /// here under the incarnation that it is about.
    bool importLocation(const Membership::PrefixLocation &location, std::chrono::milliseconds age);
    void retryPendingImports();
    Router::UpstreamPtr findUpstream(std::uint64_t idHash) const;
    void publishUpstreams();
    void publishPrefixes();

    Router::Instance &m_instance;
    NewerConfigurationHook m_newerConfiguration;
    Membership::SharedState m_state;

    /// A prefix location that came before this instance had heard from its upstream.
    struct PendingPrefixLocation
    {
        Membership::PrefixLocation location;
        Core::Clock::Monotonic observed;
    };
    std::vector<PendingPrefixLocation> m_pendingPrefixLocations;
};

} // namespace Siblings
