#include <LibCore/EventLog.h>
#include <LibMembership/ProbeService.h>

#include <algorithm>

namespace Membership {

namespace {

using Monotonic = Core::Clock::Monotonic;

constexpr unsigned StallPeriods = 2;
constexpr unsigned FinalProbePeriods = 2;

void logChange(const Member &member, MemberChange change)
{
    const auto &instance = member.id.instance.value();
    const std::string name(memberChangeName(change));
    switch (change) {
    case MemberChange::Suspected:
        Core::logEvent(Core::EventId::PeerSuspected, {{"peer", instance}});
        return;
    case MemberChange::Left:
    case MemberChange::Died:
        Core::logEvent(Core::EventId::PeerDropped, {{"peer", instance}, {"cause", name}});
        return;
    case MemberChange::Replaced:
        Core::logEvent(Core::EventId::PeerIncarnationChanged,
                       {{"peer", instance}, {"address", member.address}});
        return;
    case MemberChange::Joined:
    case MemberChange::Recovered:
    case MemberChange::Leaving:
        return;
    }
}

} // namespace

Core::Result<std::unique_ptr<ProbeService>>
ProbeService::create(const MembershipSettings &settings, Member self, const Core::Clock &clock,
                     std::mt19937_64 &rng, MembershipHooks hooks)
{
    const bool complete = !self.id.instance.isEmpty() && !self.address.empty() && hooks.send;
    if (!complete)
        return Core::Error(Core::ErrorKind::SettingsInvalid,
                           "membership requires an instance id, an address and a send hook");
    if (settings.probeTimeout >= settings.period)
        return Core::Error(Core::ErrorKind::SettingsInvalid,
                           "the probe timeout must be shorter than the period");
    return std::unique_ptr<ProbeService>(
        new ProbeService(settings, std::move(self), clock, rng, std::move(hooks)));
}

ProbeService::ProbeService(const MembershipSettings &settings, Member self,
                           const Core::Clock &clock, std::mt19937_64 &rng, MembershipHooks hooks)
    : m_settings(settings)
    , m_self(std::move(self))
    , m_clock(clock)
    , m_rng(rng)
    , m_hooks(std::move(hooks))
    , m_table(m_settings,
              [this](const Member &member, MemberChange change) {
                  logChange(member, change);
                  if (m_hooks.changed)
                      m_hooks.changed(member, change);
              })
    , m_budget(settings.updateBytesPerSecond, clock.now())
    , m_lastTick(clock.now())
    // The random offset keeps instances that restart together from probing in lockstep.
    , m_nextPeriod(clock.now() + settings.period * (rng() % 100) / 100)
{ }

void ProbeService::tick()
{
    const auto now = m_clock.now();
    checkForStall(now);
    m_lastTick = now;
    checkPendingProbes(now);
    m_table.expire(now);
    if (now >= m_nextPeriod)
        beginPeriod(now);
}

void ProbeService::checkForStall(Monotonic now)
{
    const auto stall = now - m_lastTick;
    if (stall < m_settings.period * StallPeriods)
        return;
    // This process was stalled. Missing answers from that time say nothing about the other members,
    // and they may have dropped this process, so it refutes that without being asked.
    m_pending.clear();
    m_relays.clear();
    m_table.extendSuspicions(stall);
    ++m_self.refutation;
}

void ProbeService::beginPeriod(Monotonic now)
{
    m_nextPeriod = std::max(m_nextPeriod + m_settings.period, now + m_settings.period / 2);
    if (const auto target = nextTarget())
        probe(target->address, target, now);
    if (const auto dropped = m_table.randomDroppedMember(m_rng))
        probe(dropped->address, std::nullopt, now);
    probeExpiringSuspects(now);
    probeCandidates(now);
}

void ProbeService::probeExpiringSuspects(Monotonic now)
{
    // A refutation may not have reached this process, so it probes the suspect itself before
    // dropping it.
    const auto horizon = now + m_settings.period * FinalProbePeriods;
    for (const auto &suspect : m_table.suspectsDueBefore(horizon, m_settings.finalProbesPerPeriod))
        m_hooks.send(suspect.address, Probe {++m_lastSequence, m_self, updatesFor(suspect.id)});
}

std::optional<Member> ProbeService::nextTarget()
{
    // Each member is probed once per round, in an order that is shuffled each round, which bounds
    // the time until a failed member is detected.
    if (m_probeOrder.empty()) {
        for (const auto &member : m_table.present())
            m_probeOrder.push_back(member.id);
        std::shuffle(m_probeOrder.begin(), m_probeOrder.end(), m_rng);
    }
    while (!m_probeOrder.empty()) {
        const auto id = m_probeOrder.back();
        m_probeOrder.pop_back();
        const auto *member = m_table.find(id);
        if (member != nullptr && member->state != MemberState::Dead)
            return *member;
    }
    return std::nullopt;
}

void ProbeService::probeCandidates(Monotonic now)
{
    std::vector<std::string> unknown;
    for (const auto &address : m_listed) {
        if (address != m_self.address && !m_table.knowsAddress(address))
            unknown.push_back(address);
    }
    std::shuffle(unknown.begin(), unknown.end(), m_rng);
    if (unknown.size() > m_settings.candidatesPerPeriod)
        unknown.resize(m_settings.candidatesPerPeriod);
    for (const auto &address : unknown)
        probe(address, std::nullopt, now);
}

void ProbeService::probe(const std::string &address, std::optional<Member> target, Monotonic now)
{
    const auto sequence = ++m_lastSequence;
    const auto receiver = target ? target->id : MemberId {};
    m_pending[sequence] = {std::move(target),       address, now + m_settings.probeTimeout,
                           now + m_settings.period, false,   m_receivedMessages};
    m_hooks.send(address, Probe {sequence, m_self, updatesFor(receiver)});
}

void ProbeService::checkPendingProbes(Monotonic now)
{
    std::vector<PendingProbe> failed;
    for (auto it = m_pending.begin(); it != m_pending.end();) {
        auto &probe = it->second;
        if (now >= probe.deadline) {
            failed.push_back(std::move(probe));
            it = m_pending.erase(it);
            continue;
        }
        if (probe.target && !probe.hasSentIndirectProbes && now >= probe.indirectProbeAt) {
            probe.hasSentIndirectProbes = true;
            sendIndirectProbes(it->first, probe);
        }
        ++it;
    }
    for (const auto &probe : failed)
        handleFailedProbe(probe, now);
    std::erase_if(m_relays, [now](const auto &item) { return now >= item.second.deadline; });
}

void ProbeService::sendIndirectProbes(std::uint64_t sequence, const PendingProbe &probe)
{
    auto helpers = live();
    std::erase_if(helpers, [&](const Member &member) {
        return member.state != MemberState::Alive || member.id == probe.target->id;
    });
    std::shuffle(helpers.begin(), helpers.end(), m_rng);
    if (helpers.size() > m_settings.indirectProbes)
        helpers.resize(m_settings.indirectProbes);
    for (const auto &helper : helpers)
        m_hooks.send(helper.address, IndirectProbe {sequence, m_self, *probe.target});
}

void ProbeService::handleFailedProbe(const PendingProbe &probe, Monotonic now)
{
    if (!probe.target)
        return;
    const auto *member = m_table.find(probe.target->id);
    if (member == nullptr)
        return;
    if (member->state == MemberState::Leaving) {
        m_table.drop(member->id, now);
        return;
    }
    // A process that receives no messages at all is more likely to be cut off itself.
    const bool isIsolated = m_receivedMessages == probe.receivedBefore;
    m_isolatedPeriods = isIsolated ? m_isolatedPeriods + 1 : 0;
    if (isIsolated && m_isolatedPeriods < m_settings.maxIsolatedPeriods)
        return;
    m_table.suspect(probe.target->id, now);
}

void ProbeService::receive(const Message &message)
{
    ++m_receivedMessages;
    if (const auto *probe = std::get_if<Probe>(&message))
        handleProbe(*probe);
    else if (const auto *ack = std::get_if<Ack>(&message))
        handleAck(*ack);
    else if (const auto *indirect = std::get_if<IndirectProbe>(&message))
        handleIndirectProbe(*indirect);
}

void ProbeService::handleProbe(const Probe &probe)
{
    mergeAll(probe.sender, probe.updates);
    m_hooks.send(probe.sender.address, Ack {probe.sequence, m_self, updatesFor(probe.sender.id)});
}

void ProbeService::handleAck(const Ack &ack)
{
    mergeAll(ack.sender, ack.updates);
    const auto relayed = m_relays.find(ack.sequence);
    if (relayed != m_relays.end()) {
        const auto request = relayed->second;
        m_relays.erase(relayed);
        m_hooks.send(request.requester, Ack {request.sequence, ack.sender, {}});
        return;
    }
    const auto it = m_pending.find(ack.sequence);
    if (it == m_pending.end())
        return;
    m_isolatedPeriods = 0;
    if (it->second.target && it->second.target->id != ack.sender.id)
        m_table.replace(it->second.target->id, m_clock.now());
    m_pending.erase(it);
}

void ProbeService::handleIndirectProbe(const IndirectProbe &probe)
{
    merge(probe.sender);
    const auto sequence = ++m_lastSequence;
    m_relays[sequence] = {probe.sender.address, probe.sequence, m_clock.now() + m_settings.period};
    m_hooks.send(probe.target.address, Probe {sequence, m_self, updatesFor(probe.target.id)});
}

std::vector<Member> ProbeService::updatesFor(const MemberId &receiver)
{
    auto updates = m_table.takeUpdates(receiver, m_budget.available(m_clock.now()), m_rng);
    std::size_t bytes = 0;
    for (const auto &member : updates)
        bytes += encodedBytes(member);
    m_budget.spend(bytes);
    return updates;
}

void ProbeService::mergeAll(const Member &sender, const std::vector<Member> &updates)
{
    for (const auto &update : updates)
        merge(update);
    merge(sender);
}

void ProbeService::merge(const Member &update)
{
    if (update.id == m_self.id) {
        refute(update);
        return;
    }
    const bool isLaterIncarnation = update.id.instance == m_self.id.instance
                                    && update.id.incarnation > m_self.id.incarnation
                                    && update.state != MemberState::Dead;
    if (isLaterIncarnation && m_laterIncarnationsSeen++ == 0)
        Core::logEvent(Core::EventId::PeerIncarnationChanged,
                       {{"peer", update.id.instance.value()}, {"address", update.address}});
    m_table.merge(update, m_clock.now());
}

void ProbeService::refute(const Member &update)
{
    const bool wrong = update.state > m_self.state && update.refutation >= m_self.refutation;
    if (!wrong)
        return;
    // Every message carries its sender's state, so the next messages spread the refutation.
    m_self.refutation = update.refutation + 1;
}

void ProbeService::noteListed(std::vector<std::string> addresses)
{
    m_listed = std::move(addresses);
}

void ProbeService::adopt(const std::vector<Member> &members)
{
    for (const auto &member : members)
        merge(member);
}

void ProbeService::leave()
{
    m_self.state = MemberState::Leaving;
    auto receivers = live();
    std::shuffle(receivers.begin(), receivers.end(), m_rng);
    const auto count = std::min<std::size_t>(receivers.size(), m_table.transmissionLimit());
    receivers.resize(count);
    for (const auto &receiver : receivers)
        m_hooks.send(receiver.address, Probe {++m_lastSequence, m_self, {}});
}

std::vector<Member> ProbeService::live() const
{
    auto members = m_table.present();
    std::erase_if(members, [](const Member &member) { return !member.isLive(); });
    return members;
}

} // namespace Membership
