#pragma once

#include <LibClaims/Outcome.h>
#include <LibPeer/PeerMessage.h>

namespace Siblings {

Peer::Wire::ClaimQueryT encodeClaimQuery(const Claims::HolderQuery &query);
Claims::HolderQuery decodeClaimQuery(const Peer::Wire::ClaimQueryT &message);

Peer::Wire::ClaimReplyT encodeClaimReply(const Claims::HolderReply &reply);
/// Decodes a reply. An unknown status is decoded as Unreachable, which guarantees nothing.
Claims::HolderReply decodeClaimReply(const Peer::Wire::ClaimReplyT &message);

} // namespace Siblings
