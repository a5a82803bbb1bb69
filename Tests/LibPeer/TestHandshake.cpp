#include "PeerFixture.h"

#include <LibPeer/Handshake.h>

#include <catch2/catch.hpp>

using Peer::Handshake;
using Peer::Role;

TEST_CASE("both sides of a handshake prove the key and agree on crossed frame keys")
{
    const auto left = peerSettings("a");
    const auto right = peerSettings("bb");
    Handshake client(left, Role::Client);
    Handshake server(right, Role::Server);
    CHECK(server.readHello(client.hello()).value().instance.value() == "a");
    CHECK(client.readHello(server.hello()).value().incarnation == 2);
    CHECK(server.verifyProof(client.proof()));
    CHECK(client.verifyProof(server.proof()));
    CHECK(client.frameKeys().sending == server.frameKeys().receiving);
    CHECK(client.frameKeys().receiving == server.frameKeys().sending);
    CHECK(client.frameKeys().sending != client.frameKeys().receiving);
}

TEST_CASE("a proof that is reflected, replayed or made with another key is refused")
{
    const auto settings = peerSettings("a");
    auto otherSettings = peerSettings("bb");
    Handshake client(settings, Role::Client);
    Handshake server(otherSettings, Role::Server);
    REQUIRE(client.readHello(server.hello()));
    REQUIRE(server.readHello(client.hello()));
    CHECK_FALSE(client.verifyProof(client.proof()));

    Handshake again(settings, Role::Client);
    REQUIRE(again.readHello(server.hello()));
    CHECK_FALSE(again.verifyProof(server.proof()));

    otherSettings.key = "some other key of enough bytes";
    CHECK_FALSE(client.verifyProof(server.proof()));
}

TEST_CASE("a hello of this process itself or of another environment is refused")
{
    const auto settings = peerSettings("a");
    Handshake client(settings, Role::Client);
    CHECK(client.readHello(client.hello()).error().kind() == Core::ErrorKind::PeerRejected);

    auto foreign = peerSettings("bb");
    foreign.environment = "production";
    Handshake server(foreign, Role::Server);
    CHECK(client.readHello(server.hello()).error().kind() == Core::ErrorKind::PeerRejected);
    CHECK_FALSE(client.incompatible());
}

TEST_CASE("peers agree on the lower of their newest versions if both read it")
{
    struct Case
    {
        Peer::VersionRange left;
        Peer::VersionRange right;
        unsigned agreed;
    };
    const auto row = GENERATE(Case {{1, 1}, {1, 2}, 1}, Case {{1, 3}, {2, 2}, 2},
                              Case {{1, 1}, {2, 3}, 0}, Case {{4, 5}, {2, 3}, 0});
    auto left = peerSettings("a");
    auto right = peerSettings("bb");
    left.versions = row.left;
    right.versions = row.right;
    Handshake client(left, Role::Client);
    Handshake server(right, Role::Server);
    const auto seen = client.readHello(server.hello());
    CHECK(client.incompatible() == (row.agreed == 0));
    if (seen)
        CHECK(seen.value().version == row.agreed);
    CHECK(server.readHello(client.hello()).has_value() == seen.has_value());
}
