#pragma once

#include <LibPeer/PeerMessage.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <variant>

namespace Membership {

// Names of upstreams, groups, teams and instances are shared as Core::hash64 of their ids: the
// receiver knows the ids from its configuration and list. Prefix and request digests are hashes
// already.

/// The newest configuration generation that the sender has in force.
struct ConfigurationGeneration
{
    std::uint32_t generation = 0;
    std::uint64_t digest = 0;
};

/// One crash of an upstream under a request. Crashes of a request are a set, so that one crash
/// that two instances saw, or that is told twice, counts once.
struct PoisonCrash
{
    std::uint64_t requestDigest = 0;
    /// Hash of the upstream's id and incarnation.
    std::uint64_t crash = 0;
};

enum class UpstreamCondition : std::uint32_t {
    Leaving = 1,
    Failing = 2,
};

/// An upstream process that takes no work or fails it.
struct UpstreamHealth
{
    std::uint64_t upstream = 0;
    std::uint64_t incarnation = 0;
    UpstreamCondition condition = UpstreamCondition::Failing;
};

/// What one instance uses of a group for a team, and what waits for it.
struct TeamDemand
{
    std::uint64_t team = 0;
    std::uint64_t group = 0;
    /// The low half of the hash of the instance's id.
    std::uint32_t origin = 0;
    std::uint32_t inUse = 0;
    std::uint32_t waiting = 0;
};

/// A hot prefix and an upstream that holds it. The digest is seeded by team, model and weights.
struct PrefixLocation
{
    std::uint64_t prefix = 0;
    std::uint64_t upstream = 0;
    /// The low half of the upstream's incarnation.
    std::uint32_t incarnation = 0;
    /// Requests a minute, as the sender sees them.
    std::uint32_t requestsPerMinute = 0;
};

/// Requests that one instance has running at an upstream.
struct UpstreamLoad
{
    std::uint64_t upstream = 0;
    std::uint32_t origin = 0;
    std::uint32_t outstanding = 0;
};

using SharedItem = std::variant<ConfigurationGeneration, PoisonCrash, UpstreamHealth, TeamDemand,
                                PrefixLocation, UpstreamLoad>;

/// How long an item is believed without being renewed. An item's age travels with it.
std::chrono::milliseconds lifetime(const SharedItem &item);

/// What knowing the item is worth, on one scale for all kinds. A hook may replace it.
double defaultValue(const SharedItem &item);

/// Whether an observation says enough more than what is known under the same key to be told to
/// siblings before a renewal is due. Instances that see one thing differently must not outbid each
/// other for ever, so that of shared items only the stronger word is news.
bool isSignificantUpdate(const SharedItem &known, const SharedItem &observed);

/// What tells items apart: two with one key are versions of the same thing.
struct SharedKey
{
    std::size_t kind = 0;
    std::uint64_t subject = 0;
    std::uint64_t object = 0;
    std::uint32_t origin = 0;

    friend bool operator==(const SharedKey &, const SharedKey &) = default;
};

struct SharedKeyHash
{
    std::size_t operator()(const SharedKey &key) const noexcept;
};

SharedKey keyOf(const SharedItem &item);

/// The bytes that a record takes in a message.
constexpr std::size_t SharedRecordBytes = sizeof(Peer::Wire::SharedRecord);

Peer::Wire::SharedRecord toWire(const SharedItem &item, std::uint32_t version,
                                std::chrono::milliseconds age);

/// The item that a record holds; empty when a newer program sent a kind unknown here.
std::optional<SharedItem> itemFromWire(const Peer::Wire::SharedRecord &record);

} // namespace Membership
