#include <LibMembership/Member.h>

namespace Membership {

std::string_view memberChangeName(MemberChange change)
{
    switch (change) {
    case MemberChange::Joined:
        return "joined";
    case MemberChange::Suspected:
        return "suspected";
    case MemberChange::Recovered:
        return "recovered";
    case MemberChange::Leaving:
        return "leaving";
    case MemberChange::Left:
        return "left";
    case MemberChange::Died:
        return "died";
    case MemberChange::Replaced:
        return "replaced";
    }
    return "unknown";
}

} // namespace Membership
