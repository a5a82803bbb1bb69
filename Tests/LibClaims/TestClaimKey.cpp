#include <LibClaims/ClaimKey.h>

#include <catch2/catch.hpp>

using namespace std::chrono_literals;
using Claims::KeyWindow;

TEST_CASE("a key window that exceeds the log's retention is rejected")
{
    CHECK(KeyWindow::create(50min, 2min, 60min, 8min));
    CHECK_FALSE(KeyWindow::create(50min, 2min, 60min, 9min));
    CHECK_FALSE(KeyWindow::create(0min, 2min, 60min, 8min));
}

TEST_CASE("the key headers are parsed strictly")
{
    const Core::TeamId team("studio");
    const auto kindOf = [&](auto key, auto issuedAt) {
        return Claims::parseClaimKey(team, key, issuedAt).error().kind();
    };
    const auto key = Claims::parseClaimKey(team, "order-1", "1700000000000");
    REQUIRE(key);
    CHECK(key.value().issuedAt == Claims::IssueTime(1'700'000'000'000ms));
    CHECK(kindOf(std::nullopt, "1") == Core::ErrorKind::MissingIdempotencyKey);
    CHECK(kindOf("order-1", std::nullopt) == Core::ErrorKind::MissingIdempotencyKey);
    for (const char *issuedAt : {"", "-1", "1.5", "1 ", " 1", "0x10", "99999999999999999999"})
        CHECK(kindOf("order-1", issuedAt) == Core::ErrorKind::InvalidIdempotencyKey);
    for (const auto &text : {std::string(), std::string("a b"), std::string(256, 'a')})
        CHECK(kindOf(text, "1") == Core::ErrorKind::InvalidIdempotencyKey);
}

TEST_CASE("keys of different teams and keys with the same concatenation have different ids")
{
    using Claims::ClaimKey;
    const ClaimKey key {Core::TeamId("ab"), "c", {}};
    CHECK_FALSE(key.id() == ClaimKey {Core::TeamId("a"), "bc", {}}.id());
    CHECK_FALSE(key.id() == ClaimKey {Core::TeamId("b"), "c", {}}.id());
}

TEST_CASE("a key is accepted only within its window and the clock skew")
{
    const auto window = KeyWindow::create(10min, 5s, 1h, 1min).value();
    const Claims::IssueTime issuedAt(1'700'000'000'000ms);
    const Claims::ClaimKey key {Core::TeamId("t"), "k", issuedAt};
    CHECK(window.check(key, issuedAt - 6s) == Core::ErrorKind::IssueTimeInFuture);
    CHECK_FALSE(window.check(key, issuedAt - 5s));
    CHECK_FALSE(window.check(key, issuedAt + 10min));
    CHECK(window.check(key, issuedAt + 10min + 1ms) == Core::ErrorKind::KeyExpired);
}
