#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Core {

/// A 64-bit XXH3 hash of the bytes. Fast, stable across processes, not secret.
std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0);

/// The lower-case hexadecimal SHA-256 digest of the bytes (64 characters).
std::string sha256Hex(std::string_view bytes);

/// The 32-byte HMAC-SHA256 of the bytes under the key.
std::string hmacSha256(std::string_view key, std::string_view bytes);

/// Compares in time that depends only on the lengths.
bool equalInConstantTime(std::string_view left, std::string_view right);

/// Cryptographically random bytes. Throws Error(Internal) when the system has none to give.
std::string secureRandomBytes(std::size_t count);

} // namespace Core
