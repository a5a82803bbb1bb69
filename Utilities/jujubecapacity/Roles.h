#pragma once

#include "Table.h"

#include <vector>

/// Extent of a measurement: all sizes, or only those that take a few seconds.
enum class Extent {
    Full,
    Quick,
};

// Each function measures one role at several sizes and returns the tables for the capacity page.
std::vector<Table> measureMembership(Extent extent);
std::vector<Table> measureSharing(Extent extent);
std::vector<Table> measurePeerLink(Extent extent);
std::vector<Table> measureAppends(Extent extent);
std::vector<Table> measureUsage(Extent extent);
std::vector<Table> measureAdmissionReports(Extent extent);
std::vector<Table> measureClaims(Extent extent);
std::vector<Table> measureCacheIndex(Extent extent);
std::vector<Table> measureConfiguration(Extent extent);
