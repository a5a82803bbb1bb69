#include <LibAdmission/Controller.h>

#include <algorithm>

namespace Admission {

namespace {

/// Tolerance for rounding errors when shares that add up to 1 are summed.
constexpr double ShareTolerance = 1e-9;

std::optional<Core::Error> findPolicyError(const Policy &policy)
{
    for (const auto &group : policy.groups) {
        double owned = 0;
        double floors = 0;
        for (const auto &team : group.teams)
            owned += team.ownedShare;
        for (const auto &it : group.classes)
            floors += it.floorShare;
        if (owned <= 1 + ShareTolerance && floors <= 1 + ShareTolerance)
            continue;
        return Core::Error(Core::ErrorKind::ConfigurationInvalid, "owned or floor shares of group "
                                                                      + group.id.value()
                                                                      + " add up to more than 1");
    }
    return std::nullopt;
}

} // namespace

Core::Result<std::unique_ptr<Controller>> Controller::create(const Core::Clock &clock,
                                                             Identity identity,
                                                             const Policy &policy,
                                                             PreemptionHook preempt)
{
    std::unique_ptr<Controller> controller(
        new Controller(clock, std::move(identity), std::move(preempt)));
    auto configured = controller->configure(policy);
    if (!configured)
        return configured.error();
    return controller;
}

Controller::Controller(const Core::Clock &clock, Identity identity, PreemptionHook preempt)
    : m_clock(clock)
    , m_identity(std::move(identity))
    , m_preempt(std::move(preempt))
    , m_table(std::make_shared<GroupTable>())
{ }

Core::Result<void> Controller::configure(const Policy &policy)
{
    if (auto error = findPolicyError(policy))
        return std::move(*error);
    std::scoped_lock lock(m_configureMutex);
    m_limits.configure(policy.limits);
    auto table = std::make_shared<GroupTable>(*m_table.share());
    table->indexes.clear();
    const auto known = m_table.share()->indexes;
    std::vector<GroupActions> actions;
    for (const auto &group : policy.groups) {
        const auto it = known.find(group.id);
        if (it != known.end()) {
            table->indexes.emplace(group.id, it->second);
            actions.push_back(table->groups[it->second]->configure(group, m_clock.now()));
            continue;
        }
        const auto index = static_cast<std::uint32_t>(table->groups.size());
        table->indexes.emplace(group.id, index);
        table->groups.push_back(std::make_shared<GroupAdmission>(index, group));
        table->groups.back()->setPosition(m_siblingIndex, m_siblingCount, m_clock.now());
    }
    m_table.replace(std::move(table));
    for (auto &it : actions)
        deliver(std::move(it));
    return boost::outcome_v2::success();
}

void Controller::setSlots(const Core::UpstreamGroupId &group, std::uint32_t slots)
{
    const auto table = m_table.share();
    if (const auto it = table->indexes.find(group); it != table->indexes.end())
        deliver(table->groups[it->second]->setSlots(slots, m_clock.now()));
}

void Controller::setSiblings(std::span<const Core::InstanceId> instances)
{
    std::vector<Core::InstanceId> sorted(instances.begin(), instances.end());
    sorted.push_back(m_identity.instance);
    std::sort(sorted.begin(), sorted.end());
    sorted.erase(std::unique(sorted.begin(), sorted.end()), sorted.end());
    const auto self = std::lower_bound(sorted.begin(), sorted.end(), m_identity.instance);
    std::vector<GroupActions> actions;
    {
        std::scoped_lock lock(m_configureMutex);
        m_siblingIndex = static_cast<std::uint32_t>(self - sorted.begin());
        m_siblingCount = static_cast<std::uint32_t>(sorted.size());
        m_limits.setPosition(m_siblingIndex, m_siblingCount);
        for (const auto &group : allGroups())
            actions.push_back(group->setPosition(m_siblingIndex, m_siblingCount, m_clock.now()));
    }
    for (auto &it : actions)
        deliver(std::move(it));
}

TicketId Controller::submit(Ticket ticket, DecisionHook hook)
{
    const auto number = ++m_lastTicket;
    const auto now = m_clock.now();
    const auto table = m_table.share();
    const auto it = table->indexes.find(ticket.group);
    if (it == table->indexes.end()) {
        hook(Core::Error(Core::ErrorKind::Forbidden, "no such upstream group"));
        return {};
    }
    const TicketId id {it->second, number};
    if (ticket.resumed) {
        m_limits.reenter(ticket.team);
    } else if (!m_limits.enter(ticket.team, now)) {
        hook(Core::Error(Core::ErrorKind::TeamLimitReached));
        return id;
    }
    deliver(table->groups[id.group]->submit(number, std::move(ticket), std::move(hook), now));
    return id;
}

void Controller::noteFirstToken(TicketId id)
{
    if (const auto it = group(id.group))
        it->noteFirstToken(id.number, m_clock.now());
}

void Controller::release(TicketId id, std::uint64_t usedTokens)
{
    if (const auto it = group(id.group))
        deliver(it->release(id.number, usedTokens, m_clock.now()));
}

bool Controller::withdraw(TicketId id)
{
    const auto it = group(id.group);
    const auto team = it ? it->withdraw(id.number) : std::nullopt;
    if (team)
        m_limits.leave(*team);
    return team.has_value();
}

void Controller::tick()
{
    const auto now = m_clock.now();
    m_limits.tick(now);
    for (const auto &it : allGroups())
        deliver(it->tick(now));
}

SiblingReport Controller::report(const Core::InstanceId &sibling)
{
    const auto now = m_clock.now();
    SiblingReport report {.from = m_identity.instance, .incarnation = m_identity.incarnation};
    std::uint64_t answeredSequence = 0;
    {
        std::scoped_lock lock(m_siblingMutex);
        auto &it = m_siblings[sibling];
        report.sequence = ++it.lastSent;
        report.receiverIncarnation = it.incarnation;
        it.sent[report.sequence % MaxTrackedReports] = {report.sequence, now};
        answeredSequence = it.lastReceived;
    }
    for (const auto &it : allGroups())
        report.groups.push_back(it->report(sibling, answeredSequence, now));
    report.limits = m_limits.report(sibling, answeredSequence, now);
    return report;
}

void Controller::applySiblingReport(const SiblingReport &report)
{
    const auto now = m_clock.now();
    const auto sibling = noteReceived(report);
    if (!sibling)
        return;
    // Leases and acknowledgements addressed to an earlier incarnation of this instance are void.
    const bool isForThisIncarnation = report.receiverIncarnation == m_identity.incarnation;
    const auto sent = [&](const ShareReport &share) {
        return share.lease ? sentTime(*sibling, share.lease->answers) : Core::Clock::Monotonic();
    };
    const auto table = m_table.share();
    for (auto it : report.groups) {
        const auto index = table->indexes.find(it.group);
        if (index == table->indexes.end())
            continue;
        if (!isForThisIncarnation)
            it.slots = {};
        deliver(table->groups[index->second]->applyReport(report.from, it, sent(it.slots), now));
    }
    for (auto it : report.limits) {
        if (!isForThisIncarnation)
            it.rate = it.concurrency = {};
        const auto &leased = it.rate.lease ? it.rate : it.concurrency;
        m_limits.applyReport(report.from, it, sent(leased), now);
    }
}

GroupStatus Controller::status(const Core::UpstreamGroupId &group) const
{
    const auto table = m_table.share();
    const auto it = table->indexes.find(group);
    return it == table->indexes.end() ? GroupStatus()
                                      : table->groups[it->second]->status(m_clock.now());
}

std::shared_ptr<GroupAdmission> Controller::group(std::uint32_t index) const
{
    return m_table.read([index](const GroupTable &table) {
        return index < table.groups.size() ? table.groups[index] : nullptr;
    });
}

std::vector<std::shared_ptr<GroupAdmission>> Controller::allGroups() const
{
    return m_table.share()->groups;
}

void Controller::deliver(GroupActions actions)
{
    for (const auto &team : actions.endedRequestTeams)
        m_limits.leave(team);
    for (auto &it : actions.decisions)
        it.hook(std::move(it.result));
    if (!m_preempt)
        return;
    for (const auto &id : actions.preemptions)
        m_preempt(id);
}

void Controller::forgetSibling(const Core::InstanceId &sibling)
{
    m_limits.forgetSibling(sibling);
    for (const auto &it : allGroups())
        it->forgetSibling(sibling);
}

std::optional<Controller::Sibling> Controller::noteReceived(const SiblingReport &report)
{
    if (report.from == m_identity.instance)
        return std::nullopt;
    bool hasRestarted = false;
    std::optional<Sibling> updated;
    {
        std::scoped_lock lock(m_siblingMutex);
        auto &it = m_siblings[report.from];
        const bool isOld =
            report.incarnation < it.incarnation
            || (report.incarnation == it.incarnation && report.sequence <= it.lastReceived);
        if (isOld)
            return std::nullopt;
        hasRestarted = report.incarnation > it.incarnation && it.incarnation != 0;
        it.incarnation = report.incarnation;
        it.lastReceived = report.sequence;
        updated = it;
    }
    if (hasRestarted)
        forgetSibling(report.from);
    return updated;
}

Core::Clock::Monotonic Controller::sentTime(const Sibling &sibling, std::uint64_t sequence)
{
    const auto &sent = sibling.sent[sequence % MaxTrackedReports];
    return sent.sequence == sequence ? sent.time : Core::Clock::Monotonic::min();
}

} // namespace Admission
