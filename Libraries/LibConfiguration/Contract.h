#pragma once

#include <LibConfiguration/Share.h>
#include <LibCore/Identifier.h>

#include <vector>

namespace Configuration {

/// What one team may use of one upstream group, and what it owns there.
struct Contract
{
    Core::TeamId team;
    Core::UpstreamGroupId upstreamGroup;
    /// The share of the group's capacity that the team owns.
    Share ownedShare;
    /// Whether the team may use capacity that its owners leave idle.
    bool mayBorrow = false;
    /// The class of a request that names none.
    Core::PriorityClassId defaultClass;
    std::vector<Core::PriorityClassId> allowedClasses;

    bool allows(const Core::PriorityClassId &id) const;
};

} // namespace Configuration
