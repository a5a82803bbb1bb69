#pragma once

#include <LibConfiguration/Contract.h>
#include <LibConfiguration/Model.h>
#include <LibConfiguration/PlainService.h>
#include <LibConfiguration/PriorityClass.h>
#include <LibConfiguration/TableReader.h>
#include <LibConfiguration/Team.h>
#include <LibConfiguration/UpstreamGroup.h>

#include <vector>

namespace Configuration {

/// Values with the tables that they were read from, so that a later check can report the position
/// of a fault.
template <typename Value>
struct LocatedList
{
    std::vector<Value> values;
    std::vector<TableReader> sources;
};

struct LocatedContents
{
    LocatedList<PriorityClass> priorityClasses;
    LocatedList<UpstreamGroup> upstreamGroups;
    LocatedList<Model> models;
    LocatedList<PlainService> services;
    LocatedList<Team> teams;
    LocatedList<Contract> contracts;
};

/// Validates constraints across tables: names are unique, references name an entry of the right
/// kind, and shares add up to 1 at most. Faults are added to the list of the table readers. The
/// rules are part of format 1 and must not change; new rules require a new format.
void checkCrossReferences(const LocatedContents &contents);

} // namespace Configuration
