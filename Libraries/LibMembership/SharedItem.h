#pragma once

#include <LibPeer/PeerMessage.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <variant>

namespace Membership {

// Ids of upstreams, groups, teams and instances are shared as their Core::hash64, because the
// receiver knows the ids from its configuration and instance list. Prefix and request digests are
// already hashes.

/// The newest configuration generation in force at the sender.
struct ConfigurationGeneration
{
    std::uint32_t generation = 0;
    std::uint64_t digest = 0;
};

/// One crash of an upstream while it processed a request. The crashes of a request form a set, so a
/// crash that two instances saw, or that is reported twice, counts once.
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

/// An upstream process that accepts no work or fails requests.
struct UpstreamHealth
{
    std::uint64_t upstream = 0;
    std::uint64_t incarnation = 0;
    UpstreamCondition condition = UpstreamCondition::Failing;
};

/// The slots of an upstream group that one instance uses for a team, and the number of waiting
/// requests.
struct TeamDemand
{
    std::uint64_t team = 0;
    std::uint64_t group = 0;
    /// The low 32 bits of the hash of the instance's id.
    std::uint32_t origin = 0;
    std::uint32_t inUse = 0;
    std::uint32_t waiting = 0;
};

/// A frequently used prefix and an upstream that has it cached. The digest is seeded with the team,
/// the model and the weights.
struct PrefixLocation
{
    std::uint64_t prefix = 0;
    std::uint64_t upstream = 0;
    /// The low 32 bits of the upstream's incarnation.
    std::uint32_t incarnation = 0;
    /// Requests per minute, as observed by the sender.
    std::uint32_t requestsPerMinute = 0;
};

/// The number of requests that one instance has in flight at an upstream.
struct UpstreamLoad
{
    std::uint64_t upstream = 0;
    std::uint32_t origin = 0;
    std::uint32_t outstanding = 0;
};

using SharedItem = std::variant<ConfigurationGeneration, PoisonCrash, UpstreamHealth, TeamDemand,
                                PrefixLocation, UpstreamLoad>;

/// Returns how long an item stays valid without being renewed. Records carry the age of their item.
std::chrono::milliseconds lifetime(const SharedItem &item);

/// Returns the value of sending an item, on one scale for all kinds. SharedState accepts another
/// function in its place.
double defaultValue(const SharedItem &item);

/// Returns whether an observation differs enough from the known item with the same key to be sent
/// to siblings before a renewal is due. Instances that observe the same thing differently must not
/// supersede each other forever, so for items that several instances share, only the stronger value
/// counts as an update.
bool isSignificantUpdate(const SharedItem &known, const SharedItem &observed);

/// Identifies an item. Two items with the same key are versions of the same item.
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

/// The size of a record in a message, in bytes.
constexpr std::size_t SharedRecordBytes = sizeof(Peer::Wire::SharedRecord);

Peer::Wire::SharedRecord toWire(const SharedItem &item, std::uint32_t version,
                                std::chrono::milliseconds age);

/// Decodes a record. Returns nothing for an unknown kind or condition, which a newer program may
/// send.
std::optional<SharedItem> itemFromWire(const Peer::Wire::SharedRecord &record);

} // namespace Membership
