#pragma once

#include <LibMembership/Member.h>
#include <LibPeer/PeerMessage.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace Membership {

/// Asks whether a process answers at the address it is sent to.
struct Probe
{
    std::uint64_t sequence = 0;
    Member sender;
    std::vector<Member> updates;
};

/// Answers a probe, in the answering process's own name.
struct Ack
{
    std::uint64_t sequence = 0;
    Member sender;
    std::vector<Member> updates;
};

/// Asks the receiver to probe the target and to pass its ack on.
struct IndirectProbe
{
    std::uint64_t sequence = 0;
    Member sender;
    Member target;
};

using Message = std::variant<Probe, Ack, IndirectProbe>;

/// The message as a body of the peer link. Sent one-way.
Peer::Body toBody(const Message &message);

/// The message that a body holds; empty when it is of another kind or lacks what is required.
std::optional<Message> fromBody(const Peer::Body &body);

std::unique_ptr<Peer::Wire::MemberUpdateT> toWire(const Member &member);
std::optional<Member> fromWire(const Peer::Wire::MemberUpdateT &update);

/// The members of a list that hold what is required.
std::vector<Member>
fromWire(const std::vector<std::unique_ptr<Peer::Wire::MemberUpdateT>> &updates);

/// The bytes that a member takes in a message.
std::size_t encodedBytes(const Member &member);

} // namespace Membership
