#pragma once

#include <LibCore/Error.h>
#include <LibCore/Result.h>
#include <LibPeer/PeerMessage_generated.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace Peer {

/// The body of a message: one of the tables of PeerMessage.fbs, or a kind that a newer peer
/// added, whose value is then null. It can be moved but not copied.
using Body = Wire::BodyUnion;

/// What is sent on a link: a body, and for requests and responses the id that pairs them.
using Message = Wire::EnvelopeT;

/// Wraps one of the tables as a body.
template <typename Table>
Body makeBody(Table table)
{
    Body body;
    body.Set(std::move(table));
    return body;
}

/// The body that answers a request which could not be met.
Body makeRefusal(const Core::Error &error);

/// Encodes a message as one frame's payload.
std::string encodeMessage(Wire::Purpose purpose, std::uint64_t id, const Body &body);

/// Decodes one frame's payload, or gives Error(FrameInvalid) when the buffer does not verify.
/// Fields and body kinds that this program does not know are skipped.
Core::Result<Message> decodeMessage(std::string_view payload);

/// Whether the body is of a kind that this program knows.
bool isKnown(const Body &body);

/// Takes the wanted table out of a response. Throws the Error that a refusal names, and
/// Error(FrameInvalid) when the response is of another kind.
template <typename Table>
Table takeReply(Body &body)
{
    if (body.type != Wire::BodyUnionTraits<Table>::enum_value || body.value == nullptr) {
        if (const auto *refusal = body.AsRefusal())
            throw Core::Error(Core::ErrorKind::PeerRejected,
                              refusal->kind + ": " + refusal->detail);
        throw Core::Error(Core::ErrorKind::FrameInvalid, "a response of an unexpected kind");
    }
    return std::move(*static_cast<Table *>(body.value));
}

} // namespace Peer
