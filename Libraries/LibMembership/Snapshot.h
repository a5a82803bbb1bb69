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

/// The version of a snapshot's content; a reader takes its own version and the one before it.
constexpr std::uint16_t SnapshotVersion = 1;

/// What an instance has in force, which a snapshot must fit.
struct SnapshotContext
{
    std::string environment;
    /// 0 while there is no configuration yet.
    std::uint64_t generation = 0;
    std::uint64_t generationDigest = 0;
    /// Hash of the weights version by hash of the model's id.
    std::map<std::uint64_t, std::uint64_t> weights;
};

/// The answer to a starting sibling: members and the most valuable shared state, at most as many
/// bytes as the request and the limit allow. Throws Error(PeerRejected) for another environment.
Peer::Wire::SnapshotT makeSnapshot(const SnapshotContext &context,
                                   const std::vector<Member> &members, const SharedState &state,
                                   std::chrono::milliseconds uptime,
                                   const Peer::Wire::SnapshotRequestT &request,
                                   std::size_t maxBytes);

enum class SnapshotValidity {
    Take,
    OtherEnvironment,
    IncompatibleVersion,
    /// From before a change of weights that this instance already has in force.
    OlderWeights,
};

std::string_view snapshotValidityName(SnapshotValidity validity);

/// Whether a starting instance may use the snapshot.
SnapshotValidity validateSnapshot(const Peer::Wire::SnapshotT &snapshot,
                                  const SnapshotContext &context);

/// How much the siblings' snapshots were worth.
enum class WarmStartResult {
    /// No usable snapshot: the prefix-cache index is empty, and prefixes go to preferred
    /// upstreams by hashing alone.
    None,
    /// Only siblings that started a moment ago: all they know was taken together.
    Partial,
    Full,
};

/// Takes the snapshots of a few siblings while an instance starts. The first one of a sibling that
/// has run for long enough ends the search; when all siblings are as new as this instance, what
/// they have is merged, which is harmless because merging is idempotent, and the instance does not
/// wait for anything better.
class SnapshotCollector
{
public:
    SnapshotCollector(SnapshotContext context, std::chrono::milliseconds warmUptime);

    /// Judges a snapshot, logs it, and merges it into the state if it may be used. Its members are
    /// given back for ProbeService::adopt().
    std::vector<Member> add(const Peer::Wire::SnapshotT &snapshot, const std::string &sibling,
                            SharedState &state);

    /// Whether there is no use in asking another sibling.
    bool isDone() const { return m_result == WarmStartResult::Full; }
    WarmStartResult result() const { return m_result; }

private:
    const SnapshotContext m_context;
    const std::chrono::milliseconds m_warmUptime;
    WarmStartResult m_result = WarmStartResult::None;
};

} // namespace Membership
