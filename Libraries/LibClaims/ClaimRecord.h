#pragma once

#include <LibClaims/ClaimKey.h>
#include <LibCore/Identifier.h>

#include <cstdint>

namespace Claims {

/// Names one attempt. The origin is drawn at random once in a process's life, so that no later life
/// takes an earlier one's claims for its own; the sequence counts within it.
struct AttemptId
{
    std::uint64_t origin = 0;
    std::uint64_t sequence = 0;
    friend bool operator==(const AttemptId &, const AttemptId &) = default;
};

/// One life of one instance: a restarted instance is another holder.
struct Holder
{
    Core::InstanceId instance;
    std::uint64_t incarnation = 0;
    friend bool operator==(const Holder &, const Holder &) = default;
};

/// What a record says. The values are written to the log and never change.
enum class RecordKind : std::uint8_t {
    /// The attempt wants to run the key. The first live claim wins.
    Claim = 1,
    /// The attempt was never sent and never will be; a later claim may take the key.
    Void = 2,
    /// The key has not run and never will. Takes effect when nobody else holds the key.
    Close = 3,
    /// The attempt ran to its end.
    Finished = 4,
};

/// One record of a claims stream.
struct ClaimRecord
{
    RecordKind kind = RecordKind::Claim;
    ClaimKey key;
    /// A digest of the request, so that a key reused with another body is seen.
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
