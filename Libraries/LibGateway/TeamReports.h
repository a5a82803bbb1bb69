#pragma once

#include <LibAdmission/TeamRoom.h>

#include <chrono>
#include <cstddef>
#include <vector>

namespace Gateway {

namespace Wire {
struct SiblingReport;
struct TeamDemand;
} // namespace Wire

/// Keeps a datagram small: the entries are 24 bytes each.
constexpr std::size_t MaxTeamsPerReport = 128;
/// Older entries of a sibling do not count. In a large fleet, a sibling is dropped only later.
constexpr std::chrono::seconds MaxTeamReportAge {5};

/// Returns the entries of a sibling's report.
std::vector<Admission::TeamRate> readTeamRates(const Wire::SiblingReport &report);

/// Adds the entries of each team of a service up, and returns the largest of them for a report.
std::vector<Wire::TeamDemand> wireTeamRates(const std::vector<Admission::TeamRate> &rates);

} // namespace Gateway
