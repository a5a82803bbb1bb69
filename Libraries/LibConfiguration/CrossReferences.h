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

/// Values beside the tables they were read from, so that a fault found later still has its place.
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

/// Checks what one table says against the others: names are unique, references resolve to the
/// right kind, sums of shares stay within the whole. Faults go to the tables' own list. The rules
/// belong to format 1 and never change; new rules come with a new format.
void checkCrossReferences(const LocatedContents &contents);

} // namespace Configuration
