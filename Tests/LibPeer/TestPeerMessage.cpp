#include "NextPeerMessage_generated.h"
#include "PeerFixture.h"

#include <LibPeer/PeerMessage.h>

#include <catch2/catch.hpp>

#include <random>

namespace Next = NextPeer::Wire;

namespace {

std::string finish(flatbuffers::FlatBufferBuilder &builder)
{
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

} // namespace

TEST_CASE("fields that a newer peer added are skipped")
{
    flatbuffers::FlatBufferBuilder builder;
    const auto query = Next::CreateClaimQueryDirect(builder, "kuressaare", "order-7", 1, 2, 3,
                                                    "router-1", 4, "new field");
    const auto trace = builder.CreateString("trace");
    builder.Finish(Next::CreateEnvelope(builder, Next::Purpose::Request, 5, Next::Body::ClaimQuery,
                                        query.Union(), trace));
    auto message = Peer::decodeMessage(finish(builder)).value();
    REQUIRE(message.body.AsClaimQuery() != nullptr);
    CHECK(message.id == 5);
    CHECK(message.body.AsClaimQuery()->key == "order-7");
}

TEST_CASE("a body kind that a newer peer added is reported as unknown")
{
    flatbuffers::FlatBufferBuilder builder;
    const auto later = Next::CreateLaterDirect(builder, "text");
    builder.Finish(
        Next::CreateEnvelope(builder, Next::Purpose::OneWay, 0, Next::Body::Later, later.Union()));
    const auto message = Peer::decodeMessage(finish(builder)).value();
    CHECK_FALSE(Peer::isKnown(message.body));
}

TEST_CASE("a message without the fields that this program added is read with defaults")
{
    const auto query = claimQuery("order-7");
    const auto payload = Peer::encodeMessage(Peer::Wire::Purpose::Request, 5, query);
    const auto *bytes = reinterpret_cast<const std::uint8_t *>(payload.data());
    flatbuffers::Verifier verifier(bytes, payload.size());
    REQUIRE(Next::VerifyEnvelopeBuffer(verifier));
    const auto *next = Next::GetEnvelope(bytes);
    CHECK(next->trace() == nullptr);
    CHECK(next->body_as_ClaimQuery()->note() == nullptr);
    CHECK(next->body_as_ClaimQuery()->key()->str() == "order-7");
}

TEST_CASE("corrupted frames are either decoded or rejected")
{
    std::mt19937_64 rng(11);
    Peer::Wire::ProbeT probe;
    probe.sender = std::make_unique<Peer::Wire::MemberUpdateT>();
    probe.sender->instance = "instance-1";
    for (int n = 0; n < 5; ++n) {
        probe.updates.push_back(std::make_unique<Peer::Wire::MemberUpdateT>());
        probe.updates.back()->address = "10.0.0.1:7000";
    }
    const auto whole =
        Peer::encodeMessage(Peer::Wire::Purpose::OneWay, 1, Peer::makeBody(std::move(probe)));
    int refused = 0;
    for (int round = 0; round < 20'000; ++round) {
        auto payload = whole;
        for (auto flips = 1 + rng() % 4; flips > 0; --flips)
            payload[rng() % payload.size()] = static_cast<char>(rng());
        if (rng() % 4 == 0)
            payload.resize(rng() % payload.size());
        const auto decoded = Peer::decodeMessage(payload);
        if (!decoded) {
            CHECK(decoded.error().kind() == Core::ErrorKind::FrameInvalid);
            ++refused;
        }
    }
    CHECK(refused > 0);
    CHECK(Peer::decodeMessage(whole).has_value());
}
