#include <LibMembership/MembershipMessage.h>

namespace Membership {

namespace Wire = Peer::Wire;

namespace {

// A vector entry, the table's own offset, its numeric fields and three string offsets.
constexpr std::size_t FixedUpdateBytes = 48;

/// Returns the encoded size of a string: length field, bytes and terminator, padded to a multiple
/// of four.
std::size_t encodedBytes(const std::string &text)
{
    return sizeof(std::uint32_t) + (text.size() + sizeof(std::uint32_t)) / 4 * 4;
}

std::vector<std::unique_ptr<Wire::MemberUpdateT>> toWire(const std::vector<Member> &members)
{
    std::vector<std::unique_ptr<Wire::MemberUpdateT>> updates;
    updates.reserve(members.size());
    for (const auto &member : members)
        updates.push_back(Membership::toWire(member));
    return updates;
}

template <typename Table, typename MessageType>
Peer::Body makeProbeOrAckBody(const MessageType &message)
{
    Table table;
    table.sequence = message.sequence;
    table.sender = Membership::toWire(message.sender);
    table.updates = toWire(message.updates);
    return Peer::makeBody(std::move(table));
}

template <typename MessageType, typename Table>
std::optional<Message> probeOrAckFromWire(const Table &table)
{
    if (!table.sender)
        return std::nullopt;
    auto sender = fromWire(*table.sender);
    if (!sender)
        return std::nullopt;
    return MessageType {table.sequence, std::move(*sender), fromWire(table.updates)};
}

std::optional<Message> indirectFromWire(const Wire::IndirectProbeT &table)
{
    if (!table.sender || !table.target)
        return std::nullopt;
    auto sender = fromWire(*table.sender);
    auto target = fromWire(*table.target);
    if (!sender || !target)
        return std::nullopt;
    return IndirectProbe {table.sequence, std::move(*sender), std::move(*target)};
}

struct BodyMaker
{
    Peer::Body operator()(const Probe &probe) const
    {
        return makeProbeOrAckBody<Wire::ProbeT>(probe);
    }
    Peer::Body operator()(const Ack &ack) const { return makeProbeOrAckBody<Wire::AckT>(ack); }
    Peer::Body operator()(const IndirectProbe &probe) const
    {
        Wire::IndirectProbeT table;
        table.sequence = probe.sequence;
        table.sender = Membership::toWire(probe.sender);
        table.target = Membership::toWire(probe.target);
        return Peer::makeBody(std::move(table));
    }
};

} // namespace

Peer::Body toBody(const Message &message)
{
    return std::visit(BodyMaker {}, message);
}

std::optional<Message> fromBody(const Peer::Body &body)
{
    if (const auto *probe = body.AsProbe())
        return probeOrAckFromWire<Probe>(*probe);
    if (const auto *ack = body.AsAck())
        return probeOrAckFromWire<Ack>(*ack);
    if (const auto *indirect = body.AsIndirectProbe())
        return indirectFromWire(*indirect);
    return std::nullopt;
}

std::unique_ptr<Wire::MemberUpdateT> toWire(const Member &member)
{
    auto update = std::make_unique<Wire::MemberUpdateT>();
    update->instance = member.id.instance.value();
    update->incarnation = member.id.incarnation;
    update->refutation = member.refutation;
    update->state = static_cast<Wire::MemberState>(member.state);
    update->data_centre = member.dataCentre.value();
    update->address = member.address;
    return update;
}

std::optional<Member> fromWire(const Wire::MemberUpdateT &update)
{
    if (update.instance.empty() || update.address.empty() || update.state > Wire::MemberState::MAX)
        return std::nullopt;
    return Member {{Core::InstanceId(update.instance), update.incarnation},
                   update.refutation,
                   static_cast<MemberState>(update.state),
                   Core::DataCentreId(update.data_centre),
                   update.address};
}

std::vector<Member> fromWire(const std::vector<std::unique_ptr<Wire::MemberUpdateT>> &updates)
{
    std::vector<Member> members;
    members.reserve(updates.size());
    for (const auto &update : updates) {
        if (auto member = update ? fromWire(*update) : std::nullopt)
            members.push_back(std::move(*member));
    }
    return members;
}

std::size_t encodedBytes(const Member &member)
{
    return FixedUpdateBytes + encodedBytes(member.id.instance.value())
           + encodedBytes(member.dataCentre.value()) + encodedBytes(member.address);
}

} // namespace Membership
