#include <LibMembership/MemberTable.h>
#include <LibMembership/MembershipMessage.h>

#include <algorithm>
#include <cmath>

namespace Membership {

namespace {

using Monotonic = Core::Clock::Monotonic;

MemberChange changeBetween(const Member &before, MemberState after)
{
    switch (after) {
    case MemberState::Alive:
        return MemberChange::Recovered;
    case MemberState::Suspect:
        return MemberChange::Suspected;
    case MemberState::Leaving:
        return MemberChange::Leaving;
    case MemberState::Dead:
        break;
    }
    return before.state == MemberState::Leaving ? MemberChange::Left : MemberChange::Died;
}

} // namespace

MemberTable::MemberTable(const MembershipSettings &settings, Listener listener)
    : m_settings(settings)
    , m_listener(std::move(listener))
{ }

unsigned MemberTable::fleetSizeLog() const
{
    return static_cast<unsigned>(std::ceil(std::log10(static_cast<double>(m_live) + 2)));
}

unsigned MemberTable::transmissionLimit() const
{
    return m_settings.retransmitFactor * fleetSizeLog();
}

std::chrono::milliseconds MemberTable::suspicionTimeout() const
{
    return m_settings.period * (m_settings.suspicionFactor * fleetSizeLog());
}

void MemberTable::merge(const Member &update, Monotonic now)
{
    const auto it = m_entries.find(update.id);
    if (it == m_entries.end()) {
        insert(update, now);
        return;
    }
    auto &entry = it->second;
    const auto &known = entry.member;
    const bool newer = update.refutation > known.refutation
                       || (update.refutation == known.refutation && update.state > known.state);
    if (!newer)
        return;
    const bool changed = update.state != known.state;
    entry.member.refutation = update.refutation;
    entry.member.address = update.address;
    entry.transmissionsLeft = transmissionLimit();
    if (changed)
        change(entry, update.state, changeBetween(known, update.state), now);
}

void MemberTable::insert(const Member &update, Monotonic now)
{
    // A dropped member that was never known here needs no entry.
    if (update.state == MemberState::Dead || m_entries.size() >= m_settings.maxMembers)
        return;
    for (const auto &[id, entry] : m_entries) {
        const bool older = id.instance == update.id.instance
                           && id.incarnation > update.id.incarnation
                           && entry.member.address == update.address;
        if (older)
            return;
    }
    auto &entry = m_entries[update.id];
    entry.member = update;
    entry.member.state = MemberState::Alive;
    change(entry, MemberState::Alive, MemberChange::Joined, now);
    if (update.state != MemberState::Alive)
        change(entry, update.state, changeBetween(entry.member, update.state), now);
    supersedeFormerIncarnations(update, now);
}

void MemberTable::supersedeFormerIncarnations(const Member &newMember, Monotonic now)
{
    for (auto &[id, entry] : m_entries) {
        const bool former =
            id.instance == newMember.id.instance && id.incarnation < newMember.id.incarnation;
        if (!former || entry.member.state == MemberState::Dead)
            continue;
        // At the same address, the former process must have ended. At another address it may still
        // run under the same instance id, so it is only suspected and can refute that.
        if (entry.member.address == newMember.address)
            change(entry, MemberState::Dead, MemberChange::Replaced, now);
        else
            suspect(id, now);
    }
}

void MemberTable::change(Entry &entry, MemberState state, MemberChange change, Monotonic now)
{
    entry.member.state = state;
    entry.transmissionsLeft = transmissionLimit();
    entry.changed = now;
    if (state == MemberState::Suspect)
        entry.dropAt = now + suspicionTimeout();
    recount();
    m_listener(entry.member, change);
}

void MemberTable::recount()
{
    m_live = static_cast<std::size_t>(
        std::count_if(m_entries.begin(), m_entries.end(),
                      [](const auto &item) { return item.second.member.isLive(); }));
}

void MemberTable::suspect(const MemberId &id, Monotonic now)
{
    const auto it = m_entries.find(id);
    if (it != m_entries.end() && it->second.member.state == MemberState::Alive)
        change(it->second, MemberState::Suspect, MemberChange::Suspected, now);
}

void MemberTable::replace(const MemberId &id, Monotonic now)
{
    const auto it = m_entries.find(id);
    if (it != m_entries.end() && it->second.member.state != MemberState::Dead)
        change(it->second, MemberState::Dead, MemberChange::Replaced, now);
}

void MemberTable::drop(const MemberId &id, Monotonic now)
{
    const auto it = m_entries.find(id);
    if (it != m_entries.end() && it->second.member.state != MemberState::Dead)
        change(it->second, MemberState::Dead, changeBetween(it->second.member, MemberState::Dead),
               now);
}

void MemberTable::expire(Monotonic now)
{
    for (auto &[id, entry] : m_entries) {
        if (entry.member.state == MemberState::Suspect && now >= entry.dropAt)
            change(entry, MemberState::Dead, MemberChange::Died, now);
    }
    std::erase_if(m_entries, [&](const auto &item) {
        const auto &entry = item.second;
        return entry.member.state == MemberState::Dead
               && now - entry.changed >= m_settings.droppedMemberRetention;
    });
}

void MemberTable::extendSuspicions(std::chrono::nanoseconds stall)
{
    for (auto &[id, entry] : m_entries) {
        if (entry.member.state == MemberState::Suspect)
            entry.dropAt += stall;
    }
}

std::vector<Member> MemberTable::suspectsDueBefore(Monotonic time, std::size_t limit) const
{
    std::vector<const Entry *> due;
    for (const auto &[id, entry] : m_entries) {
        if (entry.member.state == MemberState::Suspect && entry.dropAt < time)
            due.push_back(&entry);
    }
    std::sort(due.begin(), due.end(),
              [](const Entry *left, const Entry *right) { return left->dropAt < right->dropAt; });
    due.resize(std::min(due.size(), limit));
    std::vector<Member> suspects;
    suspects.reserve(due.size());
    for (const auto *entry : due)
        suspects.push_back(entry->member);
    return suspects;
}

const Member *MemberTable::find(const MemberId &id) const
{
    const auto it = m_entries.find(id);
    return it == m_entries.end() ? nullptr : &it->second.member;
}

std::vector<Member> MemberTable::members() const
{
    std::vector<Member> all;
    all.reserve(m_entries.size());
    for (const auto &[id, entry] : m_entries)
        all.push_back(entry.member);
    return all;
}

std::vector<Member> MemberTable::present() const
{
    auto all = members();
    std::erase_if(all, [](const Member &member) { return member.state == MemberState::Dead; });
    return all;
}

std::size_t MemberTable::droppedCount() const
{
    return members().size() - present().size();
}

bool MemberTable::knowsAddress(const std::string &address) const
{
    return std::any_of(m_entries.begin(), m_entries.end(), [&](const auto &item) {
        const auto &member = item.second.member;
        return member.state != MemberState::Dead && member.address == address;
    });
}

std::optional<Member> MemberTable::randomDroppedMember(std::mt19937_64 &rng) const
{
    std::vector<const Member *> dropped;
    for (const auto &[id, entry] : m_entries) {
        if (entry.member.state == MemberState::Dead)
            dropped.push_back(&entry.member);
    }
    if (dropped.empty())
        return std::nullopt;
    return *dropped[rng() % dropped.size()];
}

std::vector<Member> MemberTable::takeUpdates(const MemberId &receiver, std::size_t maxBytes,
                                             std::mt19937_64 &rng)
{
    std::vector<Entry *> order;
    order.reserve(m_entries.size());
    for (auto &[id, entry] : m_entries) {
        const bool isCandidate =
            entry.transmissionsLeft > 0 || entry.member.state != MemberState::Dead;
        if (isCandidate || id == receiver)
            order.push_back(&entry);
    }
    std::shuffle(order.begin(), order.end(), rng);
    const auto rank = [&](const Entry *entry) {
        const bool needsRefutation =
            entry->member.id == receiver && entry->member.state != MemberState::Alive;
        return needsRefutation ? transmissionLimit() + 1 : entry->transmissionsLeft;
    };
    const auto count = std::min(order.size(), m_settings.updatesPerMessage);
    std::partial_sort(
        order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count), order.end(),
        [&](const Entry *left, const Entry *right) { return rank(left) > rank(right); });
    std::vector<Member> updates;
    for (std::size_t n = 0; n < count; ++n) {
        auto &entry = *order[n];
        // An update about the receiver itself is sent regardless of the budget, because the
        // receiver must be able to refute it.
        const bool needsRefutation = rank(&entry) > transmissionLimit();
        const auto bytes = encodedBytes(entry.member);
        if (!needsRefutation && bytes > maxBytes)
            break;
        maxBytes -= std::min(bytes, maxBytes);
        entry.transmissionsLeft -= entry.transmissionsLeft > 0 ? 1 : 0;
        updates.push_back(entry.member);
    }
    return updates;
}

} // namespace Membership
