#include "Measure.h"
#include "Roles.h"

#include <LibSiblings/AdmissionReportCodec.h>

namespace {

// Size of the length field and the authentication tag of a frame.
constexpr std::size_t FrameBytes = 20;
constexpr std::size_t Groups = 19;

Admission::SiblingReport exampleReport(std::size_t demandsPerGroup, std::size_t limitedTeams)
{
    Admission::SiblingReport report;
    report.sequence = 1;
    report.receiverIncarnation = 1;
    for (std::size_t n = 0; n < Groups; ++n) {
        Admission::GroupReport group;
        group.group = Core::UpstreamGroupId("group-" + std::to_string(n));
        group.demands.resize(demandsPerGroup);
        for (std::size_t k = 0; k < demandsPerGroup; ++k)
            group.demands[k] = {Core::TeamId("team-" + std::to_string(n * 100 + k)),
                                Core::PriorityClassId("interactive"), 1};
        group.slots.lease = Admission::Lease {};
        report.groups.push_back(std::move(group));
    }
    for (std::size_t n = 0; n < limitedTeams; ++n) {
        Admission::TeamLimitReport limit;
        limit.team = Core::TeamId("team-" + std::to_string(n));
        limit.rate.lease = Admission::Lease {};
        limit.concurrency.lease = Admission::Lease {};
        report.limits.push_back(std::move(limit));
    }
    return report;
}

std::vector<std::string> measureReport(std::size_t demands, std::size_t limitedTeams)
{
    constexpr int Repeats = 200;
    const auto report = exampleReport(demands, limitedTeams);
    std::size_t bytes = 0;
    const auto before = processorTime();
    for (int n = 0; n < Repeats; ++n) {
        const auto body = Siblings::encodeAdmissionReport(report);
        bytes = FrameBytes + Peer::encodeMessage(Peer::Wire::Purpose::OneWay, 0, body).size();
    }
    const auto seconds = (processorTime() - before).count() / Repeats;
    return {std::to_string(Groups), std::to_string(demands), std::to_string(limitedTeams),
            formatNumber(static_cast<double>(bytes)), formatNumber(seconds * 1e6)};
}

} // namespace

std::vector<Table> measureAdmissionReports(Extent)
{
    Table table {
        "Admission report to one sibling",
        {"groups", "teams with demand a group", "limited teams", "bytes", "processor us to encode"},
        {}};
    table.rows.push_back(measureReport(1, 0));
    table.rows.push_back(measureReport(8, 0));
    table.rows.push_back(measureReport(8, 100));
    return {table};
}
