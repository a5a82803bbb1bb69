#pragma once

#include <LibMembership/SharedState.h>
#include <LibMembership/Snapshot.h>
#include <LibRouter/Instance.h>

#include <cstdint>
#include <functional>
#include <vector>

namespace Siblings {

/// Transfers observations between an instance and the soft state that siblings share: the
/// configuration in force, suspect requests, leaving upstreams and frequently used prefixes. Run it
/// on the strand of its SharedState.
class SharedStateBridge
{
public:
    /// Called when a sibling has a newer configuration generation than the one in force here.
    using NewerConfigurationHook = std::function<void(std::uint64_t generation)>;

    SharedStateBridge(Router::Instance &instance, NewerConfigurationHook newerConfiguration);

    Membership::SharedState &state() { return m_state; }
    const Membership::SharedState &state() const { return m_state; }
    /// Publishes the current observations of this instance, removes expired items and retries
    /// pending imports.
    void publish();
    /// Returns the context with which a snapshot for this instance must be compatible.
    Membership::SnapshotContext snapshotContext() const;

private:
    void receive(const Membership::SharedItem &item, std::chrono::milliseconds age);
    void apply(const Membership::ConfigurationGeneration &generation);
    void apply(const Membership::PoisonCrash &crash, std::chrono::milliseconds age);
    void apply(const Membership::UpstreamHealth &health);
    void apply(const Membership::PrefixLocation &location, std::chrono::milliseconds age);
    /// Passes a sibling's prefix location to the placement. Returns false while the upstream is not
    /// known here under the location's incarnation.
    bool importLocation(const Membership::PrefixLocation &location, std::chrono::milliseconds age);
    void retryPendingImports();
    Router::UpstreamPtr findUpstream(std::uint64_t idHash) const;
    void publishUpstreams();
    void publishPrefixes();

    Router::Instance &m_instance;
    NewerConfigurationHook m_newerConfiguration;
    Membership::SharedState m_state;

    /// A prefix location that was received before the incarnation of its upstream was known here.
    struct PendingPrefixLocation
    {
        Membership::PrefixLocation location;
        Core::Clock::Monotonic observed;
    };
    std::vector<PendingPrefixLocation> m_pendingPrefixLocations;
};

} // namespace Siblings
