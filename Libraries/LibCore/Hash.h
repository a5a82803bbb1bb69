#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Core {

/// Returns the 64-bit XXH3 hash. Fast, stable across processes, not cryptographic.
std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0);

/// Returns the lower-case hexadecimal SHA-256 digest of the bytes (64 characters).
std::string sha256Hex(std::string_view bytes);

/// Returns the 32-byte HMAC-SHA256 of the bytes under the key.
std::string hmacSha256(std::string_view key, std::string_view bytes);

/// Compares two strings in a time that depends only on their lengths.
bool equalInConstantTime(std::string_view left, std::string_view right);

/// Returns cryptographically secure random bytes. Throws Error(Internal) on failure.
std::string secureRandomBytes(std::size_t count);

} // namespace Core
