#include <LibCore/Base64.h>
#include <LibCore/Hash.h>

#include <catch2/catch.hpp>

TEST_CASE("digests agree with published vectors")
{
    CHECK(Core::sha256Hex("abc")
          == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    CHECK(Core::hash64("abc") == Core::hash64("abc"));
    CHECK(Core::hash64("abc", 1) != Core::hash64("abc", 2));
    CHECK(Core::equalInConstantTime("same", "same"));
    CHECK_FALSE(Core::equalInConstantTime("same", "sane"));
    CHECK_FALSE(Core::equalInConstantTime("same", "longer"));
    CHECK(Core::hmacSha256("k", "a") != Core::hmacSha256("k", "b"));
}

TEST_CASE("base64 round-trips every length and rejects malformed text")
{
    std::string bytes;
    for (int n = 0; n < 300; ++n) {
        CHECK(Core::decodeBase64(Core::encodeBase64(bytes)).value() == bytes);
        bytes += static_cast<char>(n * 7);
    }
    CHECK_FALSE(Core::decodeBase64("abc").has_value());
    CHECK_FALSE(Core::decodeBase64("!!!!").has_value());
}
