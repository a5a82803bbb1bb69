#include <LibPeer/PeerMessage.h>

namespace Peer {

namespace {

// A message nests envelope, body and list element; the rest is headroom for newer peers.
constexpr unsigned MaxDepth = 16;
constexpr unsigned MaxTables = 100'000;

} // namespace

Body makeRefusal(const Core::Error &error)
{
    Wire::RefusalT refusal;
    refusal.kind = Core::errorKindRow(error.kind()).name;
    refusal.detail = error.detail();
    return makeBody(std::move(refusal));
}

std::string encodeMessage(Wire::Purpose purpose, std::uint64_t id, const Body &body)
{
    flatbuffers::FlatBufferBuilder builder;
    const auto packed = body.Pack(builder);
    Wire::EnvelopeBuilder envelope(builder);
    envelope.add_id(id);
    envelope.add_body(packed);
    envelope.add_body_type(body.type);
    envelope.add_purpose(purpose);
    builder.Finish(envelope.Finish());
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

Core::Result<Message> decodeMessage(std::string_view payload)
{
    const auto *bytes = reinterpret_cast<const std::uint8_t *>(payload.data());
    flatbuffers::Verifier verifier(bytes, payload.size(), MaxDepth, MaxTables);
    if (!Wire::VerifyEnvelopeBuffer(verifier))
        return Core::Error(Core::ErrorKind::FrameInvalid, "the message failed verification");
    Message message;
    Wire::GetEnvelope(bytes)->UnPackTo(&message);
    return message;
}

bool isKnown(const Body &body)
{
    return body.value != nullptr;
}

} // namespace Peer
