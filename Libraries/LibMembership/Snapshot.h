#pragma once

#include <LibMembership/Member.h>
#include <LibMembership/SharedState.h>
#include <LibPeer/PeerMessage.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Membership {

/// The version of a snapshot's content. A reader accepts its own version and the previous one.
constexpr std::uint16_t SnapshotVersion = 1;

/// The environment and configuration of an instance, with which a snapshot must be compatible.
struct SnapshotContext
{
    std::string environment;
    /// 0 until a configuration is in force.
    std::uint64_t generation = 0;
    std::uint64_t generationDigest = 0;
    /// Hashes of the weights versions, by the hash of the model's id.
    std::map<std::uint64_t, std::uint64_t> weights;
};

/// Creates the answer to a starting sibling: members and the most valuable shared state, limited to
/// the smaller of the request's limit and maxBytes. Throws Error(PeerRejected) when the request is
/// for another environment.
Peer::Wire::SnapshotT makeSnapshot(const SnapshotContext &context,
                                   const std::vector<Member> &members, const SharedState &state,
                                   std::chrono::milliseconds uptime,
                                   const Peer::Wire::SnapshotRequestT &request,
                                   std::size_t maxBytes);

enum class SnapshotValidity {
    Take,
    OtherEnvironment,
    IncompatibleVersion,
    /// The snapshot predates a change of weights that is already in force at this instance.
    OlderWeights,
};

std::string_view snapshotValidityName(SnapshotValidity validity);

/// Checks whether a starting instance may use the snapshot.
SnapshotValidity validateSnapshot(const Peer::Wire::SnapshotT &snapshot,
                                  const SnapshotContext &context);

/// How complete the state is that the siblings' snapshots provided.
enum class WarmStartResult {
    /// No usable snapshot: the prefix-cache index is empty, and prefixes are assigned to preferred
    /// upstreams by hashing alone.
    None,
    /// Only siblings that had started recently answered; their snapshots were merged.
    Partial,
    Full,
};

/// Collects the snapshots of a few siblings while an instance starts. The first snapshot of a
/// sibling that has run for long enough completes the collection. If all siblings are as new as
/// this instance, their snapshots are merged, which is safe because merging is idempotent, and the
/// instance does not wait for a better one.
class SnapshotCollector
{
public:
    SnapshotCollector(SnapshotContext context, std::chrono::milliseconds warmUptime);

    /// Validates a snapshot, logs the result, and merges the snapshot into the state if it is
    /// usable. Returns its members for ProbeService::adopt().
    std::vector<Member> add(const Peer::Wire::SnapshotT &snapshot, const std::string &sibling,
                            SharedState &state);

    /// Returns whether no other sibling needs to be asked.
    bool isDone() const { return m_result == WarmStartResult::Full; }
    WarmStartResult result() const { return m_result; }

private:
    const SnapshotContext m_context;
    const std::chrono::milliseconds m_warmUptime;
    WarmStartResult m_result = WarmStartResult::None;
};

} // namespace Membership
