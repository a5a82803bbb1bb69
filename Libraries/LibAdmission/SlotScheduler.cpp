#include <LibAdmission/SlotScheduler.h>

#include <algorithm>
#include <cmath>

namespace Admission {

namespace {

/// Weight of a new sample in the average interval between grants.
constexpr double GrantIntervalGain = 0.2;
constexpr double MinWeight = 1e-6;
/// The floor debt is limited to this time at the full floor.
constexpr std::chrono::duration<double> MaxFloorDebt {2.0};
/// The maximum number of running requests examined to find one to preempt.
constexpr int VictimScanLimit = 32;

} // namespace

SlotScheduler::SlotScheduler(const GroupPolicy &policy)
    : m_policy(policy)
    , m_locality(policy.teams.size(), 1.0)
    , m_queues(policy.teams.size() * policy.classes.size())
    , m_classes(policy.classes.size())
    , m_classReserves(policy.classes.size(), 0)
{
    for (std::size_t n = 0; n < m_policy.teams.size(); ++n)
        m_teams.emplace(m_policy.teams[n].id, n);
}

std::optional<std::size_t> SlotScheduler::teamIndex(const Core::TeamId &team) const
{
    const auto it = m_teams.find(team);
    return it == m_teams.end() ? std::nullopt : std::optional(it->second);
}

std::optional<std::size_t>
SlotScheduler::classIndex(const Core::PriorityClassId &priorityClass) const
{
    for (std::size_t n = 0; n < m_policy.classes.size(); ++n) {
        if (m_policy.classes[n].id == priorityClass)
            return n;
    }
    return std::nullopt;
}

bool SlotScheduler::hasQueueRoom(std::size_t classIndex, std::size_t teamIndex) const
{
    const auto limit = m_policy.classes[classIndex].queueLimit;
    const auto queued = m_classes[classIndex].queued;
    return queued < limit && queue(classIndex, teamIndex).waiting.size() < limit - queued;
}

std::chrono::microseconds SlotScheduler::expectedWait(std::size_t classIndex,
                                                      std::size_t teamIndex) const
{
    const auto &it = queue(classIndex, teamIndex);
    const auto wait = it.grantInterval * static_cast<double>(it.waiting.size());
    return std::chrono::duration_cast<std::chrono::microseconds>(wait);
}

std::chrono::microseconds SlotScheduler::expectedFirstToken(std::size_t classIndex,
                                                            std::size_t teamIndex,
                                                            const Ticket &ticket) const
{
    const auto &state = m_classes[classIndex];
    const bool isOwn = isEntitled(classIndex, teamIndex);
    const auto &delay = isOwn ? state.ownDelay : state.borrowedDelay;
    return ticket.expectedFirstToken + delay.withMargin();
}

void SlotScheduler::noteFirstToken(std::uint64_t number, Core::Clock::Monotonic now)
{
    const auto it = m_running.find(number);
    if (it == m_running.end())
        return;
    const auto &entry = it->second;
    auto &state = m_classes[entry.classIndex];
    auto &delay = entry.isBorrowed ? state.borrowedDelay : state.ownDelay;
    delay.addSample(now - entry.granted - entry.request.ticket.expectedFirstToken);
}

void SlotScheduler::decayDelays()
{
    for (auto &state : m_classes) {
        state.ownDelay.decay();
        state.borrowedDelay.decay();
    }
}

void SlotScheduler::enqueue(WaitingRequest request)
{
    const auto team = *teamIndex(request.ticket.team);
    const auto cls = *classIndex(request.ticket.priorityClass);
    auto &it = queue(cls, team);
    auto &state = m_classes[cls];
    if (it.waiting.empty()) {
        state.active.push_back(team);
        it.service = std::max(it.service, state.virtualTime);
        it.lastGrant.reset();
    }
    ++state.queued;
    m_waitingCells.emplace(request.number, cls * m_policy.teams.size() + team);
    if (request.ticket.resumed)
        it.waiting.push_front(std::move(request));
    else
        it.waiting.push_back(std::move(request));
}

std::optional<WaitingRequest> SlotScheduler::withdraw(std::uint64_t number)
{
    const auto cell = m_waitingCells.find(number);
    if (cell == m_waitingCells.end())
        return std::nullopt;
    const auto cls = cell->second / m_policy.teams.size();
    const auto team = cell->second % m_policy.teams.size();
    auto &waiting = queue(cls, team).waiting;
    const auto it = std::find_if(waiting.begin(), waiting.end(),
                                 [number](const auto &entry) { return entry.number == number; });
    auto request = std::move(*it);
    waiting.erase(it);
    noteWaitingRemoved(cls, team, number);
    return request;
}

std::optional<ScheduledRequest> SlotScheduler::next(std::uint32_t share, Core::Clock::Monotonic now)
{
    updateFloorDebt(now);
    m_share = share;
    if (running() >= share)
        return std::nullopt;
    for (const auto pass : {Pass::Floor, Pass::Owned, Pass::Borrowed}) {
        if (const auto choice = choose(pass, share))
            return start(*choice, now);
    }
    return std::nullopt;
}

std::optional<WaitingRequest> SlotScheduler::takeUnreachable(Core::Clock::Monotonic now)
{
    for (std::size_t cls = 0; cls < m_classes.size(); ++cls) {
        for (const auto team : m_classes[cls].active) {
            const auto &ticket = queue(cls, team).waiting.front().ticket;
            if (ticket.deadline && now + expectedFirstToken(cls, team, ticket) > *ticket.deadline)
                return popFront(cls, team);
        }
    }
    return std::nullopt;
}

std::optional<Core::TeamId> SlotScheduler::finish(std::uint64_t number, std::uint64_t usedTokens,
                                                  Core::Clock::Monotonic now)
{
    const auto it = m_running.find(number);
    if (it == m_running.end())
        return std::nullopt;
    updateFloorDebt(now);
    const auto &entry = it->second;
    auto &team = queue(entry.classIndex, entry.teamIndex);
    const auto expected = static_cast<double>(entry.request.ticket.expectedTokens);
    team.service += (static_cast<double>(usedTokens) - expected) / weight(entry.teamIndex);
    --team.running;
    --m_classes[entry.classIndex].running;
    if (entry.yieldsTo) {
        --team.yielding;
        --m_classes[entry.classIndex].yielding;
        --m_queues[*entry.yieldsTo].pendingYields;
    }
    m_preemptible.erase(entry.startOrder);
    auto teamId = it->second.request.ticket.team;
    m_running.erase(it);
    return teamId;
}

std::optional<std::uint64_t> SlotScheduler::preemptionVictim(std::uint32_t share)
{
    if (m_preemptible.empty() || running() < share)
        return std::nullopt;
    for (std::size_t cls = 0; cls < m_classes.size(); ++cls) {
        for (const auto team : m_classes[cls].active) {
            const auto waiting = preemptor(cls, team);
            if (!waiting)
                continue;
            if (const auto victim = youngestVictim(*waiting, share))
                return victim;
        }
    }
    return std::nullopt;
}

double SlotScheduler::remainingOwnedSlots(std::size_t teamIndex, double atMost) const
{
    const double remaining = ownedSlots(teamIndex) - usedSlots(m_classes.size() - 1, teamIndex);
    return std::clamp(remaining, 0.0, atMost);
}

std::size_t SlotScheduler::waiting() const
{
    return m_waitingCells.size();
}

std::size_t SlotScheduler::demand(std::size_t classIndex, std::size_t teamIndex) const
{
    const auto &it = queue(classIndex, teamIndex);
    return it.waiting.size() + it.running;
}

std::vector<WaitingRequest> SlotScheduler::moveTo(SlotScheduler &next)
{
    std::vector<WaitingRequest> unknown;
    for (auto &[number, entry] : m_running) {
        const auto cls = next.classIndex(entry.request.ticket.priorityClass);
        const auto team = next.teamIndex(entry.request.ticket.team);
        // A running request whose team or class was removed continues without being counted.
        if (cls && team)
            next.noteRunning(std::move(entry), *cls, *team);
    }
    for (auto &it : m_queues) {
        for (auto &request : it.waiting) {
            const bool known = next.classIndex(request.ticket.priorityClass)
                               && next.teamIndex(request.ticket.team);
            request.ticket.resumed = false;
            if (known)
                next.enqueue(std::move(request));
            else
                unknown.push_back(std::move(request));
        }
    }
    return unknown;
}

SlotScheduler::Queue &SlotScheduler::queue(std::size_t classIndex, std::size_t teamIndex)
{
    return m_queues[classIndex * m_policy.teams.size() + teamIndex];
}

const SlotScheduler::Queue &SlotScheduler::queue(std::size_t classIndex,
                                                 std::size_t teamIndex) const
{
    return m_queues[classIndex * m_policy.teams.size() + teamIndex];
}

double SlotScheduler::weight(std::size_t teamIndex) const
{
    return std::max(MinWeight, m_policy.teams[teamIndex].weight * m_locality[teamIndex]);
}

double SlotScheduler::ownedSlots(std::size_t teamIndex) const
{
    return m_policy.teams[teamIndex].ownedShare * m_policy.slots * m_locality[teamIndex];
}

double SlotScheduler::usedSlots(std::size_t classIndex, std::size_t teamIndex) const
{
    double sum = 0;
    for (std::size_t cls = 0; cls <= classIndex; ++cls)
        sum += queue(cls, teamIndex).running;
    return sum;
}

bool SlotScheduler::isEntitled(std::size_t classIndex, std::size_t teamIndex) const
{
    return usedSlots(classIndex, teamIndex) < ownedSlots(teamIndex);
}

bool SlotScheduler::isBelowFloor(std::size_t classIndex, std::uint32_t share) const
{
    const double floorSlots = m_policy.classes[classIndex].floorShare * share;
    const auto &state = m_classes[classIndex];
    if (state.running < std::floor(floorSlots))
        return true;
    return state.running < std::ceil(floorSlots) && state.floorDebt > 0;
}

bool SlotScheduler::isReserved(std::size_t classIndex, Pass pass, std::uint32_t share) const
{
    if (pass == Pass::Floor)
        return false;
    const auto forTeams = pass == Pass::Borrowed ? m_reserve : 0;
    return running() + std::max(forTeams, m_classReserves[classIndex]) >= share;
}

bool SlotScheduler::mayTake(std::size_t classIndex, std::size_t teamIndex, Pass pass) const
{
    if (isEntitled(classIndex, teamIndex))
        return true;
    return pass != Pass::Owned && m_policy.teams[teamIndex].mayBorrow;
}

std::optional<std::size_t> SlotScheduler::nextTeam(std::size_t classIndex, Pass pass) const
{
    std::optional<std::size_t> best;
    for (const auto team : m_classes[classIndex].active) {
        if (!mayTake(classIndex, team, pass))
            continue;
        if (!best || queue(classIndex, team).service < queue(classIndex, *best).service)
            best = team;
    }
    return best;
}

std::optional<SlotScheduler::Choice> SlotScheduler::choose(Pass pass, std::uint32_t share) const
{
    for (std::size_t cls = 0; cls < m_classes.size(); ++cls) {
        if (m_classes[cls].queued == 0 || isReserved(cls, pass, share))
            continue;
        if (pass == Pass::Floor && !isBelowFloor(cls, share))
            continue;
        if (const auto team = nextTeam(cls, pass))
            return Choice {cls, *team, !isEntitled(cls, *team)};
    }
    return std::nullopt;
}

ScheduledRequest SlotScheduler::start(const Choice &choice, Core::Clock::Monotonic now)
{
    auto &it = queue(choice.classIndex, choice.teamIndex);
    updateGrantInterval(it, now);
    auto request = popFront(choice.classIndex, choice.teamIndex);
    auto &state = m_classes[choice.classIndex];
    state.virtualTime = std::max(state.virtualTime, it.service);
    it.service += static_cast<double>(request.ticket.expectedTokens) / weight(choice.teamIndex);
    noteRunning({.request = request, .granted = now, .isBorrowed = choice.borrowed},
                choice.classIndex, choice.teamIndex);
    const auto priority = 2 * static_cast<int>(choice.classIndex) + (choice.borrowed ? 1 : 0);
    return {std::move(request), choice.borrowed, priority};
}

void SlotScheduler::noteRunning(Running entry, std::size_t classIndex, std::size_t teamIndex)
{
    const auto number = entry.request.number;
    entry.classIndex = classIndex;
    entry.teamIndex = teamIndex;
    entry.startOrder = ++m_started;
    entry.yieldsTo.reset();
    entry.request.hook = nullptr;
    if (entry.request.ticket.preemptible && m_policy.classes[classIndex].preemptible)
        m_preemptible.emplace(entry.startOrder, number);
    ++queue(classIndex, teamIndex).running;
    ++m_classes[classIndex].running;
    m_running.emplace(number, std::move(entry));
}

WaitingRequest SlotScheduler::popFront(std::size_t classIndex, std::size_t teamIndex)
{
    auto &waiting = queue(classIndex, teamIndex).waiting;
    auto request = std::move(waiting.front());
    waiting.pop_front();
    noteWaitingRemoved(classIndex, teamIndex, request.number);
    return request;
}

void SlotScheduler::noteWaitingRemoved(std::size_t classIndex, std::size_t teamIndex,
                                       std::uint64_t number)
{
    auto &state = m_classes[classIndex];
    --state.queued;
    m_waitingCells.erase(number);
    if (queue(classIndex, teamIndex).waiting.empty())
        std::erase(state.active, teamIndex);
}

void SlotScheduler::updateGrantInterval(Queue &queue, Core::Clock::Monotonic now)
{
    // The wait of a request that found its queue empty is only an upper bound of the interval.
    const auto since = queue.lastGrant.value_or(queue.waiting.front().arrived);
    const std::chrono::duration<double> gap = now - since;
    if (queue.lastGrant && queue.grantInterval.count() <= 0)
        queue.grantInterval = gap;
    else if (queue.lastGrant || gap < queue.grantInterval)
        queue.grantInterval += GrantIntervalGain * (gap - queue.grantInterval);
    queue.lastGrant = now;
}

void SlotScheduler::updateFloorDebt(Core::Clock::Monotonic now)
{
    const std::chrono::duration<double> elapsed =
        m_lastUpdate ? now - *m_lastUpdate : std::chrono::nanoseconds(0);
    m_lastUpdate = now;
    for (std::size_t cls = 0; cls < m_classes.size(); ++cls) {
        auto &state = m_classes[cls];
        const double floorSlots = m_policy.classes[cls].floorShare * m_share;
        const double maxDebt = floorSlots * MaxFloorDebt.count();
        const double debtIncrease = (floorSlots - state.running) * elapsed.count();
        // A class without waiting requests is not behind its floor.
        const double ceiling = state.queued > 0 ? maxDebt : 0.0;
        state.floorDebt = std::clamp(state.floorDebt + debtIncrease, -maxDebt, ceiling);
    }
}

std::optional<SlotScheduler::Choice> SlotScheduler::preemptor(std::size_t classIndex,
                                                              std::size_t teamIndex) const
{
    const auto &it = queue(classIndex, teamIndex);
    if (it.waiting.size() <= it.pendingYields)
        return std::nullopt;
    const bool isEntitled =
        usedSlots(classIndex, teamIndex) + it.pendingYields < ownedSlots(teamIndex);
    if (!isEntitled && !m_policy.teams[teamIndex].mayBorrow)
        return std::nullopt;
    return Choice {classIndex, teamIndex, !isEntitled};
}

bool SlotScheduler::mayYield(const Running &victim, const Choice &waiting,
                             std::uint32_t share) const
{
    if (victim.classIndex < waiting.classIndex)
        return false;
    const auto &state = m_classes[victim.classIndex];
    const double floorSlots = m_policy.classes[victim.classIndex].floorShare * share;
    if (state.running - state.yielding <= floorSlots)
        return false;
    const bool isLessUrgent = victim.classIndex > waiting.classIndex;
    if (isLessUrgent && victim.teamIndex == waiting.teamIndex)
        return true;
    double usedAfterYields = usedSlots(victim.classIndex, victim.teamIndex);
    for (std::size_t cls = 0; cls <= victim.classIndex; ++cls)
        usedAfterYields -= queue(cls, victim.teamIndex).yielding;
    const bool isOverOwned = usedAfterYields > std::ceil(ownedSlots(victim.teamIndex));
    return isOverOwned && (isLessUrgent || !waiting.borrowed);
}

std::optional<std::uint64_t> SlotScheduler::youngestVictim(const Choice &waiting,
                                                           std::uint32_t share)
{
    int scanned = 0;
    for (auto it = m_preemptible.rbegin(); it != m_preemptible.rend(); ++it) {
        if (++scanned > VictimScanLimit)
            break;
        auto &entry = m_running.at(it->second);
        if (!mayYield(entry, waiting, share))
            continue;
        const auto number = it->second;
        entry.yieldsTo = waiting.classIndex * m_policy.teams.size() + waiting.teamIndex;
        ++queue(waiting.classIndex, waiting.teamIndex).pendingYields;
        ++queue(entry.classIndex, entry.teamIndex).yielding;
        ++m_classes[entry.classIndex].yielding;
        m_preemptible.erase(std::next(it).base());
        return number;
    }
    return std::nullopt;
}

} // namespace Admission
