#include <LibCore/Error.h>
#include <LibCore/Hash.h>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <xxhash.h>

#include <array>

namespace Core {

namespace {
constexpr std::size_t Sha256Bytes = 32;
}

std::uint64_t hash64(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::string sha256Hex(std::string_view bytes)
{
    std::array<unsigned char, Sha256Bytes> digest {};
    unsigned length = 0;
    if (EVP_Digest(bytes.data(), bytes.size(), digest.data(), &length, EVP_sha256(), nullptr) != 1)
        throw Error(ErrorKind::Internal, "SHA-256 failed");
    constexpr std::string_view Digits = "0123456789abcdef";
    std::string text;
    text.reserve(Sha256Bytes * 2);
    for (const unsigned char byte : digest) {
        text += Digits[byte >> 4];
        text += Digits[byte & 0xf];
    }
    return text;
}

std::string hmacSha256(std::string_view key, std::string_view bytes)
{
    std::string digest(Sha256Bytes, '\0');
    unsigned length = 0;
    const auto *data = reinterpret_cast<const unsigned char *>(bytes.data());
    auto *out = reinterpret_cast<unsigned char *>(digest.data());
    if (!HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), data, bytes.size(), out,
              &length))
        throw Error(ErrorKind::Internal, "HMAC-SHA256 failed");
    return digest;
}

bool equalInConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size()
           && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string secureRandomBytes(std::size_t count)
{
    std::string bytes(count, '\0');
    if (RAND_bytes(reinterpret_cast<unsigned char *>(bytes.data()), static_cast<int>(count)) != 1)
        throw Error(ErrorKind::Internal, "RAND_bytes failed");
    return bytes;
}

} // namespace Core
