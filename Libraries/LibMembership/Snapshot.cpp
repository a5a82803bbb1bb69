#include <LibCore/EventLog.h>
#include <LibMembership/MembershipMessage.h>
#include <LibMembership/Snapshot.h>

#include <algorithm>

namespace Membership {

using Peer::Wire::SnapshotRequestT;
using Peer::Wire::SnapshotT;

namespace {

constexpr std::uint16_t LowestSnapshotVersion = 1;
// Envelope, environment and numbers around the lists.
constexpr std::size_t FixedSnapshotBytes = 512;

} // namespace

SnapshotT makeSnapshot(const SnapshotBasis &basis, const std::vector<Member> &members,
                       const SharedState &state, std::chrono::milliseconds uptime,
                       const SnapshotRequestT &request, std::size_t maxBytes)
{
    if (request.environment != basis.environment)
        throw Core::Error(Core::ErrorKind::PeerRejected, "a snapshot for another environment");
    SnapshotT snapshot;
    snapshot.version = SnapshotVersion;
    snapshot.environment = basis.environment;
    snapshot.generation = basis.generation;
    snapshot.generation_digest = basis.generationDigest;
    snapshot.uptime_ms = static_cast<std::uint64_t>(uptime.count());
    for (const auto &[model, weights] : basis.weights)
        snapshot.weights.emplace_back(model, weights);
    auto limit = std::min<std::size_t>(maxBytes, request.max_bytes);
    const auto spend = [&limit](std::size_t bytes) {
        const bool fits = bytes <= limit;
        limit -= fits ? bytes : 0;
        return fits;
    };
    spend(std::min(limit, FixedSnapshotBytes
                              + snapshot.weights.size() * sizeof(Peer::Wire::ModelWeights)));
    for (const auto &member : members) {
        if (!spend(encodedBytes(member)))
            break;
        snapshot.members.push_back(toWire(member));
    }
    snapshot.records = state.copy(limit);
    return snapshot;
}

std::string_view snapshotVerdictName(SnapshotVerdict verdict)
{
    switch (verdict) {
    case SnapshotVerdict::Take:
        return "take";
    case SnapshotVerdict::OtherEnvironment:
        return "other_environment";
    case SnapshotVerdict::IncompatibleVersion:
        return "incompatible_version";
    case SnapshotVerdict::OlderWeights:
        return "older_weights";
    }
    return "unknown";
}

SnapshotVerdict judgeSnapshot(const SnapshotT &snapshot, const SnapshotBasis &basis)
{
    if (snapshot.environment != basis.environment)
        return SnapshotVerdict::OtherEnvironment;
    if (snapshot.version < LowestSnapshotVersion || snapshot.version > SnapshotVersion)
        return SnapshotVerdict::IncompatibleVersion;
    // A sibling that is ahead has newer weights than this instance, whose own configuration will
    // follow; one that is behind must agree on the weights of every model that both know.
    if (snapshot.generation >= basis.generation)
        return SnapshotVerdict::Take;
    const bool agrees =
        std::all_of(snapshot.weights.begin(), snapshot.weights.end(),
                    [&basis](const Peer::Wire::ModelWeights &row) {
                        const auto it = basis.weights.find(row.model());
                        return it == basis.weights.end() || it->second == row.weights();
                    });
    return agrees ? SnapshotVerdict::Take : SnapshotVerdict::OlderWeights;
}

SnapshotCollector::SnapshotCollector(SnapshotBasis basis, std::chrono::milliseconds warmUptime)
    : m_basis(std::move(basis))
    , m_warmUptime(warmUptime)
{ }

std::vector<Member> SnapshotCollector::add(const SnapshotT &snapshot, const std::string &sibling,
                                           SharedState &state)
{
    const auto verdict = judgeSnapshot(snapshot, m_basis);
    if (verdict != SnapshotVerdict::Take) {
        Core::logEvent(Core::EventId::SnapshotRefused,
                       {{"peer", sibling}, {"cause", std::string(snapshotVerdictName(verdict))}});
        return {};
    }
    Core::logEvent(Core::EventId::SnapshotTaken, {{"peer", sibling}});
    state.receive(snapshot.records);
    const bool warm = snapshot.uptime_ms >= static_cast<std::uint64_t>(m_warmUptime.count());
    m_result = std::max(m_result, warm ? WarmStart::Full : WarmStart::Partial);
    return fromWire(snapshot.members);
}

} // namespace Membership
