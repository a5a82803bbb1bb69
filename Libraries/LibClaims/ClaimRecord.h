#pragma once

#include <LibClaims/ClaimKey.h>
#include <LibCore/Identifier.h>

#include <cstdint>

namespace Claims {

/// Identifies one attempt. The origin is a random number chosen once per process, so that a
/// restarted instance does not mistake an earlier process's claims for its own. The sequence number
/// counts the attempts of the process.
struct AttemptId
{
    std::uint64_t origin = 0;
    std::uint64_t sequence = 0;
    friend bool operator==(const AttemptId &, const AttemptId &) = default;
};

/// One incarnation of an instance. A restarted instance is a different holder.
struct Holder
{
    Core::InstanceId instance;
    std::uint64_t incarnation = 0;
    friend bool operator==(const Holder &, const Holder &) = default;
};

/// The kind of a record. The values are stored in the log and must not change.
enum class RecordKind : std::uint8_t {
    /// The attempt requests to run the key. The first valid claim wins.
    Claim = 1,
    /// The attempt was not sent and never will be; a later claim may win the key.
    Void = 2,
    /// The key has not run and never will. Takes effect only if no other attempt holds the key.
    Close = 3,
    /// The attempt ran to completion.
    Finished = 4,
};

/// One record of a claims stream.
struct ClaimRecord
{
    RecordKind kind = RecordKind::Claim;
    ClaimKey key;
    /// A digest of the request, to detect a key that is reused with a different body.
    std::uint64_t digest = 0;
    AttemptId attempt;
    Holder holder;
    friend bool operator==(const ClaimRecord &, const ClaimRecord &) = default;
};

} // namespace Claims

template <>
struct std::hash<Claims::AttemptId>
{
    std::size_t operator()(const Claims::AttemptId &id) const noexcept
    {
        return id.origin ^ (id.sequence * 0x9e3779b97f4a7c15ULL);
    }
};
