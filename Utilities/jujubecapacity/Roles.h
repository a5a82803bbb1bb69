#pragma once

#include "Table.h"

#include <vector>

/// How much to run: everything, or the sizes that fit into a few seconds.
enum class Extent {
    Full,
    Quick,
};

// Each measures one role at several sizes and gives the tables for the capacity page.
std::vector<Table> measureMembership(Extent extent);
std::vector<Table> measureSharing(Extent extent);
std::vector<Table> measurePeerLink(Extent extent);
std::vector<Table> measureAppends(Extent extent);
std::vector<Table> measureUsage(Extent extent);
std::vector<Table> measureAdmissionReports(Extent extent);
std::vector<Table> measureClaims(Extent extent);
std::vector<Table> measureCacheIndex(Extent extent);
std::vector<Table> measureConfiguration(Extent extent);
