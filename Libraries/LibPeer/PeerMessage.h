#pragma once

#include <LibCore/Error.h>
#include <LibCore/Result.h>
#include <LibPeer/PeerMessage_generated.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace Peer {

/// The body of a message: one of the tables of PeerMessage.fbs. The value is null for a kind that
/// only newer peers know. It can be moved but not copied.
using Body = Wire::BodyUnion;

/// A message on a link: a body, and the id that matches a response with its request.
using Message = Wire::EnvelopeT;

/// Wraps one of the tables as a body.
template <typename Table>
Body makeBody(Table table)
{
    Body body;
    body.Set(std::move(table));
    return body;
}

/// Returns the response body that reports an error.
Body makeRefusal(const Core::Error &error);

/// Encodes a message as one frame's payload.
std::string encodeMessage(Wire::Purpose purpose, std::uint64_t id, const Body &body);

/// Decodes one frame's payload. Fails with FrameInvalid when the buffer does not verify.
/// Fields and body kinds that this program does not know are skipped.
Core::Result<Message> decodeMessage(std::string_view payload);

/// Returns whether the body is of a kind that this program knows.
bool isKnown(const Body &body);

/// Moves the expected table out of a response. Throws Error(PeerRejected) for a refusal, and
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
