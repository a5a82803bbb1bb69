#include <LibSiblings/AdmissionReportCodec.h>

namespace Siblings {

namespace {

std::unique_ptr<Peer::Wire::ShareReportT> encodeShare(const Admission::ShareReport &share)
{
    auto wire = std::make_unique<Peer::Wire::ShareReportT>();
    wire->acknowledged = share.acknowledged;
    if (share.lease) {
        wire->lease = std::make_unique<Peer::Wire::ShareLease>(
            share.lease->number, share.lease->answers, share.lease->amount);
    }
    return wire;
}

Admission::ShareReport decodeShare(const std::unique_ptr<Peer::Wire::ShareReportT> &wire)
{
    Admission::ShareReport share;
    if (!wire)
        return share;
    share.acknowledged = wire->acknowledged;
    if (wire->lease) {
        Admission::Lease lease;
        lease.number = wire->lease->number();
        lease.amount = wire->lease->amount();
        lease.answers = wire->lease->answers();
        share.lease = lease;
    }
    return share;
}

std::unique_ptr<Peer::Wire::GroupSharesT> encodeGroup(const Admission::GroupReport &group)
{
    auto wire = std::make_unique<Peer::Wire::GroupSharesT>();
    wire->group = group.group.value();
    for (const auto &demand : group.demands) {
        auto row = std::make_unique<Peer::Wire::SlotDemandT>();
        row->team = demand.team.value();
        row->priority_class = demand.priorityClass.value();
        row->slots = demand.slots;
        wire->demands.push_back(std::move(row));
    }
    wire->slots = encodeShare(group.slots);
    return wire;
}

Admission::GroupReport decodeGroup(const Peer::Wire::GroupSharesT &wire)
{
    Admission::GroupReport group;
    group.group = Core::UpstreamGroupId(wire.group);
    for (const auto &row : wire.demands) {
        group.demands.push_back(
            {Core::TeamId(row->team), Core::PriorityClassId(row->priority_class), row->slots});
    }
    group.slots = decodeShare(wire.slots);
    return group;
}

std::unique_ptr<Peer::Wire::TeamLimitSharesT> encodeLimit(const Admission::TeamLimitReport &limit)
{
    auto wire = std::make_unique<Peer::Wire::TeamLimitSharesT>();
    wire->team = limit.team.value();
    wire->rate_demand = limit.rateDemand;
    wire->concurrency_demand = limit.concurrencyDemand;
    wire->rate = encodeShare(limit.rate);
    wire->concurrency = encodeShare(limit.concurrency);
    return wire;
}

Admission::TeamLimitReport decodeLimit(const Peer::Wire::TeamLimitSharesT &wire)
{
    Admission::TeamLimitReport limit;
    limit.team = Core::TeamId(wire.team);
    limit.rateDemand = wire.rate_demand;
    limit.concurrencyDemand = wire.concurrency_demand;
    limit.rate = decodeShare(wire.rate);
    limit.concurrency = decodeShare(wire.concurrency);
    return limit;
}

} // namespace

Peer::Body encodeAdmissionReport(const Admission::SiblingReport &report)
{
    Peer::Wire::AdmissionReportT wire;
    wire.receiver_incarnation = report.receiverIncarnation;
    wire.sequence = report.sequence;
    for (const auto &group : report.groups)
        wire.groups.push_back(encodeGroup(group));
    for (const auto &limit : report.limits)
        wire.limits.push_back(encodeLimit(limit));
    return Peer::makeBody(std::move(wire));
}

Admission::SiblingReport decodeAdmissionReport(const Peer::PeerIdentity &sender,
                                               const Peer::Wire::AdmissionReportT &message)
{
    Admission::SiblingReport report;
    report.from = sender.instance;
    report.incarnation = sender.incarnation;
    report.receiverIncarnation = message.receiver_incarnation;
    report.sequence = message.sequence;
    for (const auto &group : message.groups)
        report.groups.push_back(decodeGroup(*group));
    for (const auto &limit : message.limits)
        report.limits.push_back(decodeLimit(*limit));
    return report;
}

} // namespace Siblings
