#pragma once

#include <LibCore/ErrorKind.h>
#include <LibCore/Identifier.h>
#include <LibCore/Result.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Claims {

/// When a caller first issued a key, in milliseconds since the epoch.
using IssueTime = std::chrono::sys_time<std::chrono::milliseconds>;

/// A 128-bit digest of team and key. Colliding keys are treated as the same key: the later call is
/// refused, and no call runs twice.
struct KeyId
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;
    friend bool operator==(const KeyId &, const KeyId &) = default;
};

/// The idempotency key of a non-repeatable call. Team and text identify the key; using the same key
/// with a different issue time is a conflict.
struct ClaimKey
{
    Core::TeamId team;
    std::string text;
    IssueTime issuedAt;

    KeyId id() const;
    friend bool operator==(const ClaimKey &, const ClaimKey &) = default;
};

/// How long a key is accepted after its issue time, and how far the clocks of callers, instances
/// and the log may differ. Thread-safe.
class KeyWindow
{
public:
    /// Errors: SettingsInvalid if the log's retention is shorter than window, skew and margin
    /// together, because a claim could then be deleted while its key is still accepted.
    static Core::Result<KeyWindow> create(std::chrono::milliseconds window,
                                          std::chrono::milliseconds skew,
                                          std::chrono::milliseconds retention,
                                          std::chrono::milliseconds margin);

    std::chrono::milliseconds window() const { return m_window; }
    std::chrono::milliseconds skew() const { return m_skew; }
    /// Whether a key with this issue time has expired at the given time.
    bool isExpired(IssueTime issuedAt, std::chrono::system_clock::time_point now) const;
    /// Whether the issue time is ahead of the given time by more than the allowed clock skew.
    bool isInFuture(IssueTime issuedAt, std::chrono::system_clock::time_point now) const;
    /// Returns KeyExpired, IssueTimeInFuture, or nullopt for an acceptable key.
    std::optional<Core::ErrorKind> check(const ClaimKey &key,
                                         std::chrono::system_clock::time_point now) const;

private:
    KeyWindow(std::chrono::milliseconds window, std::chrono::milliseconds skew)
        : m_window(window)
        , m_skew(skew)
    { }

    std::chrono::milliseconds m_window;
    std::chrono::milliseconds m_skew;
};

/// Maximum length of the key text in bytes.
constexpr std::size_t MaxKeyBytes = 255;

/// Parses the headers Idempotency-Key and Idempotency-Issued-At (milliseconds since the epoch).
/// Errors: MissingIdempotencyKey, InvalidIdempotencyKey; both state that the attempt has not run.
Core::Result<ClaimKey> parseClaimKey(const Core::TeamId &team, std::optional<std::string_view> key,
                                     std::optional<std::string_view> issuedAt);

} // namespace Claims

template <>
struct std::hash<Claims::KeyId>
{
    std::size_t operator()(const Claims::KeyId &id) const noexcept { return id.low; }
};
