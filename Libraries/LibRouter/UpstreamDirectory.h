#pragma once

#include <LibCore/Snapshot.h>
#include <LibPlacement/Placement.h>
#include <LibPlatform/InstanceList.h>
#include <LibRouter/Upstream.h>

#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace Router {

using UpstreamPtr = std::shared_ptr<Upstream>;

/// A snapshot of the upstreams of one group.
struct UpstreamGroupView
{
    std::vector<UpstreamPtr> upstreams;
    /// The same upstreams, as a candidate set for the placement.
    std::shared_ptr<const Placement::CandidateSet> candidates;

    /// Returns the upstream with the given slot, or null.
    UpstreamPtr bySlot(Placement::UpstreamSlot slot) const;
};

/// The upstreams that this instance knows, by group. Readers never block; each new list replaces
/// the whole map.
class UpstreamDirectory
{
public:
    struct Hooks
    {
        std::function<void(const UpstreamPtr &)> added;
        /// Called when the list no longer contains an upstream, or marks it as leaving.
        std::function<void(const UpstreamPtr &)> leaving;
    };

    /// The placement must outlive the directory.
    UpstreamDirectory(Placement::Placement &placement, Hooks hooks);

    /// Applies the platform's list. The objects of upstreams that remain listed are kept.
    void apply(const Platform::InstanceList &list);

    /// Returns the upstreams of one group; empty for an unknown group.
    UpstreamGroupView group(const Core::UpstreamGroupId &id) const;
    std::vector<UpstreamPtr> all() const;

private:
    using Groups = std::unordered_map<Core::UpstreamGroupId, UpstreamGroupView>;

    UpstreamPtr reconcile(const Platform::ListedInstance &listed);
    void addCandidates(Groups &groups) const;

    Placement::Placement &m_placement;
    Hooks m_hooks;
    std::mutex m_writer;
    std::unordered_map<Core::UpstreamId, UpstreamPtr> m_known;
    Core::Snapshot<Groups> m_groups;
};

} // namespace Router
