#include <LibCore/EventLog.h>
#include <LibMembership/MembershipMessage.h>
#include <LibMembership/Snapshot.h>

#include <algorithm>

namespace Membership {

using Peer::Wire::SnapshotRequestT;
using Peer::Wire::SnapshotT;

namespace {

constexpr std::uint16_t MinSnapshotVersion = 1;
// Envelope, environment and numeric fields around the lists.
constexpr std::size_t FixedSnapshotBytes = 512;

} // namespace

SnapshotT makeSnapshot(const SnapshotContext &context, const std::vector<Member> &members,
                       const SharedState &state, std::chrono::milliseconds uptime,
                       const SnapshotRequestT &request, std::size_t maxBytes)
{
    if (request.environment != context.environment)
        throw Core::Error(Core::ErrorKind::PeerRejected,
                          "the snapshot request is for another environment");
    SnapshotT snapshot;
    snapshot.version = SnapshotVersion;
    snapshot.environment = context.environment;
    snapshot.generation = context.generation;
    snapshot.generation_digest = context.generationDigest;
    snapshot.uptime_ms = static_cast<std::uint64_t>(uptime.count());
    for (const auto &[model, weights] : context.weights)
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
    snapshot.records = state.snapshotRecords(limit);
    return snapshot;
}

std::string_view snapshotValidityName(SnapshotValidity validity)
{
    switch (validity) {
    case SnapshotValidity::Take:
        return "take";
    case SnapshotValidity::OtherEnvironment:
        return "other_environment";
    case SnapshotValidity::IncompatibleVersion:
        return "incompatible_version";
    case SnapshotValidity::OlderWeights:
        return "older_weights";
    }
    return "unknown";
}

SnapshotValidity validateSnapshot(const SnapshotT &snapshot, const SnapshotContext &context)
{
    if (snapshot.environment != context.environment)
        return SnapshotValidity::OtherEnvironment;
    if (snapshot.version < MinSnapshotVersion || snapshot.version > SnapshotVersion)
        return SnapshotValidity::IncompatibleVersion;
    // A sibling with a newer generation has newer weights, and this instance's own configuration
    // will catch up. A sibling with an older generation must agree on the weights of every model
    // that both know.
    if (snapshot.generation >= context.generation)
        return SnapshotValidity::Take;
    const bool agrees =
        std::all_of(snapshot.weights.begin(), snapshot.weights.end(),
                    [&context](const Peer::Wire::ModelWeights &row) {
                        const auto it = context.weights.find(row.model());
                        return it == context.weights.end() || it->second == row.weights();
                    });
    return agrees ? SnapshotValidity::Take : SnapshotValidity::OlderWeights;
}

SnapshotCollector::SnapshotCollector(SnapshotContext context, std::chrono::milliseconds warmUptime)
    : m_context(std::move(context))
    , m_warmUptime(warmUptime)
{ }

std::vector<Member> SnapshotCollector::add(const SnapshotT &snapshot, const std::string &sibling,
                                           SharedState &state)
{
    const auto validity = validateSnapshot(snapshot, m_context);
    if (validity != SnapshotValidity::Take) {
        Core::logEvent(Core::EventId::SnapshotRefused,
                       {{"peer", sibling}, {"cause", std::string(snapshotValidityName(validity))}});
        return {};
    }
    Core::logEvent(Core::EventId::SnapshotTaken, {{"peer", sibling}});
    state.receive(snapshot.records);
    const bool warm = snapshot.uptime_ms >= static_cast<std::uint64_t>(m_warmUptime.count());
    m_result = std::max(m_result, warm ? WarmStartResult::Full : WarmStartResult::Partial);
    return fromWire(snapshot.members);
}

} // namespace Membership
