#include <LibClaims/ClaimKey.h>
#include <LibCore/Hash.h>

#include <algorithm>
#include <charconv>

namespace Claims {

namespace {

constexpr std::uint64_t HighSeed = 1;
constexpr std::uint64_t LowSeed = 2;
// The end of the year 9999. The limit keeps arithmetic on issue times from overflowing.
constexpr std::int64_t MaxIssueTimeMs = 253'402'300'799'000;

bool isKeyByte(char byte)
{
    return byte > ' ' && byte < 0x7f;
}

std::optional<IssueTime> parseIssueTime(std::string_view text)
{
    std::int64_t value = 0;
    const auto *end = text.data() + text.size();
    const auto [rest, ec] = std::from_chars(text.data(), end, value);
    if (ec != std::errc {} || rest != end || value < 0 || value > MaxIssueTimeMs)
        return std::nullopt;
    return IssueTime(std::chrono::milliseconds(value));
}

} // namespace

KeyId ClaimKey::id() const
{
    std::string bytes = team.value();
    bytes += '\0';
    bytes += text;
    return {Core::hash64(bytes, HighSeed), Core::hash64(bytes, LowSeed)};
}

Core::Result<KeyWindow> KeyWindow::create(std::chrono::milliseconds window,
                                          std::chrono::milliseconds skew,
                                          std::chrono::milliseconds retention,
                                          std::chrono::milliseconds margin)
{
    if (window.count() <= 0 || skew.count() < 0 || margin.count() < 0)
        return Core::Error(
            Core::ErrorKind::SettingsInvalid,
            "the key window must be positive, and skew and margin must not be negative");
    if (window + skew + margin > retention)
        return Core::Error(
            Core::ErrorKind::SettingsInvalid,
            "the sum of key window, clock skew and margin exceeds the log's retention");
    return KeyWindow(window, skew);
}

bool KeyWindow::isExpired(IssueTime issuedAt, std::chrono::system_clock::time_point now) const
{
    return now > issuedAt + m_window;
}

bool KeyWindow::isInFuture(IssueTime issuedAt, std::chrono::system_clock::time_point now) const
{
    return issuedAt > now + m_skew;
}

std::optional<Core::ErrorKind> KeyWindow::check(const ClaimKey &key,
                                                std::chrono::system_clock::time_point now) const
{
    if (isInFuture(key.issuedAt, now))
        return Core::ErrorKind::IssueTimeInFuture;
    if (isExpired(key.issuedAt, now))
        return Core::ErrorKind::KeyExpired;
    return std::nullopt;
}

Core::Result<ClaimKey> parseClaimKey(const Core::TeamId &team, std::optional<std::string_view> key,
                                     std::optional<std::string_view> issuedAt)
{
    if (!key || !issuedAt)
        return Core::Error(Core::ErrorKind::MissingIdempotencyKey);
    if (key->empty() || key->size() > MaxKeyBytes || !std::ranges::all_of(*key, isKeyByte))
        return Core::Error(Core::ErrorKind::InvalidIdempotencyKey,
                           "Idempotency-Key must be 1 to 255 visible ASCII characters");
    const auto time = parseIssueTime(*issuedAt);
    if (!time)
        return Core::Error(Core::ErrorKind::InvalidIdempotencyKey,
                           "Idempotency-Issued-At must be a time in milliseconds since the epoch");
    return ClaimKey {team, std::string(*key), *time};
}

} // namespace Claims
