#pragma once

#include <LibConfiguration/Share.h>
#include <LibCore/Identifier.h>

#include <vector>

namespace Configuration {

/// A team's permissions and owned capacity in one upstream group.
struct Contract
{
    Core::TeamId team;
    Core::UpstreamGroupId upstreamGroup;
    /// The share of the group's capacity that the team owns.
    Share ownedShare;
    /// Whether the team may borrow capacity that its owners leave idle.
    bool mayBorrow = false;
    /// The class of a request that does not name one.
    Core::PriorityClassId defaultClass;
    std::vector<Core::PriorityClassId> allowedClasses;

    bool allows(const Core::PriorityClassId &id) const;
};

} // namespace Configuration
