#pragma once

namespace Admission {

class Controller;
class GroupAdmission;
class LeasedShare;
class RetryBudget;
class SlotScheduler;
class SuspectTable;
class TeamLimits;
class TeamRoom;
class UpstreamCircuit;
struct Grant;
struct GroupPolicy;
struct SiblingReport;
struct Ticket;
struct TicketId;

} // namespace Admission
