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

/// The membership list of one process: the known state of all other members, the rules for merging
/// updates, and the updates that are still to be disseminated. Does not contain the process itself.
class MemberTable
{
public:
    using Listener = std::function<void(const Member &member, MemberChange change)>;

    MemberTable(const MembershipSettings &settings, Listener listener);

    /// Merges an update about a member. The order of arrival does not matter: the higher refutation
    /// wins, and within one refutation the worse state.
    void merge(const Member &update, Core::Clock::Monotonic now);

    /// Suspects a member that did not answer its probes, or whose instance id another process uses.
    void suspect(const MemberId &id, Core::Clock::Monotonic now);

    /// Drops a member at whose address another process answers.
    void replace(const MemberId &id, Core::Clock::Monotonic now);

    /// Drops a leaving member that no longer answers.
    void drop(const MemberId &id, Core::Clock::Monotonic now);

    /// Drops suspects whose timeout has expired, and forgets members that were dropped long ago.
    void expire(Core::Clock::Monotonic now);

    /// Extends all suspicion timeouts by the time for which this process itself was stalled.
    void extendSuspicions(std::chrono::nanoseconds stall);

    /// Returns up to limit suspects that will be dropped before the given time, soonest first.
    std::vector<Member> suspectsDueBefore(Core::Clock::Monotonic time, std::size_t limit) const;

    const Member *find(const MemberId &id) const;
    std::vector<Member> members() const;
    /// Returns the alive, suspected and leaving members.
    std::vector<Member> present() const;
    std::size_t liveCount() const { return m_live; }
    std::size_t droppedCount() const;
    bool knowsAddress(const std::string &address) const;

    /// Returns a random dropped member. Probing it shows whether a partition has healed.
    std::optional<Member> randomDroppedMember(std::mt19937_64 &rng) const;

    /// Returns the updates to send to a member, within the byte limit: first an unfavourable state
    /// of the receiver itself, then the newest updates, then random other members. Counts each
    /// returned update as sent once more.
    std::vector<Member> takeUpdates(const MemberId &receiver, std::size_t maxBytes,
                                    std::mt19937_64 &rng);

    /// Returns how often an update is sent, for the current fleet size.
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
