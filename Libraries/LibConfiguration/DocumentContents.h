#pragma once

#include <LibConfiguration/Contract.h>
#include <LibConfiguration/Limits.h>
#include <LibConfiguration/Model.h>
#include <LibConfiguration/PlainService.h>
#include <LibConfiguration/PriorityClass.h>
#include <LibConfiguration/Team.h>
#include <LibConfiguration/UpstreamGroup.h>

#include <cstdint>
#include <vector>

namespace Configuration {

/// The contents of a document, in document order.
struct DocumentContents
{
    std::uint32_t format = 0;
    Limits limits;
    std::vector<PriorityClass> priorityClasses;
    std::vector<UpstreamGroup> upstreamGroups;
    std::vector<Model> models;
    std::vector<PlainService> services;
    std::vector<Team> teams;
    std::vector<Contract> contracts;
};

} // namespace Configuration
