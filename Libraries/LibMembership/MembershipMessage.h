#pragma once

#include <LibMembership/Member.h>
#include <LibPeer/PeerMessage.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace Membership {

/// Asks whether a process answers at the address to which the probe is sent.
struct Probe
{
    std::uint64_t sequence = 0;
    Member sender;
    std::vector<Member> updates;
};

/// Answers a probe. The sender is the process that answers.
struct Ack
{
    std::uint64_t sequence = 0;
    Member sender;
    std::vector<Member> updates;
};

/// Asks the receiver to probe the target and to forward its ack.
struct IndirectProbe
{
    std::uint64_t sequence = 0;
    Member sender;
    Member target;
};

using Message = std::variant<Probe, Ack, IndirectProbe>;

/// Encodes the message as the body of a one-way peer message.
Peer::Body toBody(const Message &message);

/// Decodes a message. Returns nothing when the body is of another kind or lacks a required field.
std::optional<Message> fromBody(const Peer::Body &body);

std::unique_ptr<Peer::Wire::MemberUpdateT> toWire(const Member &member);
std::optional<Member> fromWire(const Peer::Wire::MemberUpdateT &update);

/// Decodes the updates, skipping those that lack a required field.
std::vector<Member>
fromWire(const std::vector<std::unique_ptr<Peer::Wire::MemberUpdateT>> &updates);

/// Returns the estimated size of a member in a message, in bytes.
std::size_t encodedBytes(const Member &member);

} // namespace Membership
