#pragma once

namespace Membership {

class ByteBudget;
class MemberTable;
class ProbeService;
class SharedState;
class SharedStatePublisher;
struct Member;
struct MemberId;
struct MembershipSettings;

} // namespace Membership
