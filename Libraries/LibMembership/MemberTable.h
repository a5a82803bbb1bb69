#pragma once

#include <LibCore/Clock.h>
#include <LibMembership/Member.h>

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Membership {

/// What one process believes of the others, how beliefs are merged, and which of them are news
/// that is still to be passed on. Holds every member but the process itself.
class MemberTable
{
public:
    using Listener = std::function<void(const Member &member, MemberChange change)>;

    MemberTable(const MembershipSettings &settings, Listener listener);

    /// Takes in what somebody says of a member. The order of arrival does not matter: the higher
    /// refutation wins, and the worse state within one refutation.
    void merge(const Member &update, Core::Clock::Monotonic now);

    /// The member missed its probes, or is contradicted by another of its instance id.
    void suspect(const MemberId &id, Core::Clock::Monotonic now);

    /// Another process answered at the member's address.
    void replace(const MemberId &id, Core::Clock::Monotonic now);

    /// Drops a member that leaves and no longer answers.
    void drop(const MemberId &id, Core::Clock::Monotonic now);

    /// Drops suspects whose time is up and forgets those that have been dead for long.
    void expire(Core::Clock::Monotonic now);

    /// Gives suspects more time, by as long as this process itself stood still.
    void extendSuspicions(std::chrono::nanoseconds stall);

    /// Suspects that will be dropped before the given time, soonest first, at most so many.
    std::vector<Member> suspectsDueBefore(Core::Clock::Monotonic time, std::size_t limit) const;

    const Member *find(const MemberId &id) const;
    std::vector<Member> members() const;
    /// Alive, suspected and leaving members.
    std::vector<Member> present() const;
    std::size_t liveCount() const { return m_live; }
    std::size_t droppedCount() const;
    bool knowsAddress(const std::string &address) const;

    /// A random dead member, to see whether a partition has healed.
    std::optional<Member> randomDroppedMember(std::mt19937_64 &rng) const;

    /// What to tell a member: first what is said of itself, if bad, then the newest news, then
    /// random other beliefs, within the bytes. Counts the news as sent once more.
    std::vector<Member> takeUpdates(const MemberId &receiver, std::size_t maxBytes,
                                    std::mt19937_64 &rng);

    /// How often a piece of news is sent, for a fleet of the present size.
    unsigned transmissionLimit() const;
    std::chrono::milliseconds suspicionTimeout() const;

private:
    struct Entry
    {
        Member member;
        unsigned transmissionsLeft = 0;
        Core::Clock::Monotonic changed;
        Core::Clock::Monotonic dropAt;
    };

    void insert(const Member &update, Core::Clock::Monotonic now);
    void change(Entry &entry, MemberState state, MemberChange change, Core::Clock::Monotonic now);
    void supersedeFormerIncarnations(const Member &newMember, Core::Clock::Monotonic now);
    void recount();
    unsigned fleetSizeLog() const;

    const MembershipSettings &m_settings;
    Listener m_listener;
    std::map<MemberId, Entry> m_entries;
    std::size_t m_live = 0;
};

} // namespace Membership
