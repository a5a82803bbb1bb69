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

/// Milliseconds since the epoch at which a caller first issued a key.
using IssueTime = std::chrono::sys_time<std::chrono::milliseconds>;

/// A 128-bit digest of team and key. Two keys that collide are taken for one: the later call is
/// refused, never run twice.
struct KeyId
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;
    friend bool operator==(const KeyId &, const KeyId &) = default;
};

/// What a caller names a non-repeatable call by. Team and text identify the key; a second issue
/// time for the same key is a conflict.
struct ClaimKey
{
    Core::TeamId team;
    std::string text;
    IssueTime issuedAt;

    KeyId id() const;
    friend bool operator==(const ClaimKey &, const ClaimKey &) = default;
};

/// How long a key is acceptable, and how far the clocks of callers, instances and the log may
/// differ. Safe from any thread.
class KeyWindow
{
public:
    /// Refuses (SettingsInvalid) a window that the log's retention does not outlast by skew and
    /// margin, because a claim could then be forgotten while its key is still acceptable.
    static Core::Result<KeyWindow> create(std::chrono::milliseconds window,
                                          std::chrono::milliseconds skew,
                                          std::chrono::milliseconds retention,
                                          std::chrono::milliseconds margin);

    std::chrono::milliseconds window() const { return m_window; }
    std::chrono::milliseconds skew() const { return m_skew; }
    /// Whether a key issued then is too old at the given time.
    bool isExpired(IssueTime issuedAt, std::chrono::system_clock::time_point now) const;
    /// Whether a key claims to be issued further ahead than clocks may differ.
    bool isInFuture(IssueTime issuedAt, std::chrono::system_clock::time_point now) const;
    /// KeyExpired, IssueTimeInFuture, or nothing for an acceptable key.
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

/// The longest key text, in bytes.
constexpr std::size_t MaxKeyBytes = 255;

/// Reads the headers Idempotency-Key and Idempotency-Issued-At (milliseconds since the epoch).
/// Errors: MissingIdempotencyKey, InvalidIdempotencyKey, both with the attempt not run.
Core::Result<ClaimKey> parseClaimKey(const Core::TeamId &team, std::optional<std::string_view> key,
                                     std::optional<std::string_view> issuedAt);

} // namespace Claims

template <>
struct std::hash<Claims::KeyId>
{
    std::size_t operator()(const Claims::KeyId &id) const noexcept { return id.low; }
};
