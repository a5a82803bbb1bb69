#pragma once

#include <LibCore/Result.h>
#include <LibMembership/ByteBudget.h>
#include <LibMembership/MemberTable.h>
#include <LibMembership/MembershipMessage.h>

#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Membership {

/// How the probing reaches the outside.
struct MembershipHooks
{
    /// Sends a message, without waiting, to the process that listens at IP:port. May lose it.
    std::function<void(const std::string &address, const Message &message)> send;
    /// Told of each change. May be empty.
    std::function<void(const Member &member, MemberChange change)> changed;
};

/// Finds the other instances and keeps up which of them live, by probing a few of them each
/// period; the cost of a node does not grow with the fleet. Does no input or output, reads no
/// clock but the one passed in, and is not thread-safe: run it on one strand.
///
/// Siblings are found in the platform's list and by what peers say. A member that answers neither
/// directly nor by way of others is suspected; the suspicion is passed on, to itself too, and it
/// objects by raising its refutation. Only a suspicion that stands for the whole timeout drops it.
/// Dropped members are still tried now and then, so that a healed partition is noticed without the
/// platform.
class ProbeService
{
public:
    /// Gives Error(SettingsInvalid) when settings or identity cannot be worked with. Clock and
    /// random generator must outlive the service.
    static Core::Result<std::unique_ptr<ProbeService>> create(const MembershipSettings &settings,
                                                              Member self, const Core::Clock &clock,
                                                              std::mt19937_64 &rng,
                                                              MembershipHooks hooks);

    ProbeService(const ProbeService &) = delete;
    ProbeService &operator=(const ProbeService &) = delete;

    /// Does what is due. Call at least four times a period.
    void tick();

    /// Takes a message that came over the peer link.
    void receive(const Message &message);

    /// The addresses that the platform lists now, those of other instances only. The list lags,
    /// so it adds candidates and drops nobody.
    void noteListed(std::vector<std::string> addresses);

    /// Takes in the members of a sibling's snapshot.
    void adopt(const std::vector<Member> &members);

    /// Tells others that this process takes no new work and is about to end.
    void leave();

    const Member &self() const { return m_self; }
    /// Alive and suspected members, this process not included.
    std::vector<Member> live() const;
    const MemberTable &table() const { return m_table; }
    /// Processes seen that use this process's instance id with a later incarnation.
    std::uint64_t laterIncarnationsSeen() const { return m_laterIncarnationsSeen; }

private:
    struct PendingProbe
    {
        /// Empty when an address of the list or a dead member is tried.
        std::optional<Member> target;
        std::string address;
        Core::Clock::Monotonic indirectProbeAt;
        Core::Clock::Monotonic deadline;
        bool hasSentIndirectProbes = false;
        std::uint64_t receivedBefore = 0;
    };
    struct Relay
    {
        std::string requester;
        std::uint64_t sequence = 0;
        Core::Clock::Monotonic deadline;
    };

    ProbeService(const MembershipSettings &settings, Member self, const Core::Clock &clock,
                 std::mt19937_64 &rng, MembershipHooks hooks);

    void checkForStall(Core::Clock::Monotonic now);
    void beginPeriod(Core::Clock::Monotonic now);
    void checkPendingProbes(Core::Clock::Monotonic now);
    void handleFailedProbe(const PendingProbe &probe, Core::Clock::Monotonic now);
    void sendIndirectProbes(std::uint64_t sequence, const PendingProbe &probe);
    std::optional<Member> nextTarget();
    void probeExpiringSuspects(Core::Clock::Monotonic now);
    void probeCandidates(Core::Clock::Monotonic now);
    void probe(const std::string &address, std::optional<Member> target,
               Core::Clock::Monotonic now);
    void mergeAll(const Member &sender, const std::vector<Member> &updates);
    void merge(const Member &update);
    void refute(const Member &update);
    void handleProbe(const Probe &probe);
    void handleAck(const Ack &ack);
    void handleIndirectProbe(const IndirectProbe &probe);
    std::vector<Member> updatesFor(const MemberId &receiver);

    const MembershipSettings m_settings;
    Member m_self;
    const Core::Clock &m_clock;
    std::mt19937_64 &m_rng;
    MembershipHooks m_hooks;
    MemberTable m_table;
    ByteBudget m_budget;
    std::vector<MemberId> m_probeOrder;
    std::vector<std::string> m_listed;
    std::unordered_map<std::uint64_t, PendingProbe> m_pending;
    std::unordered_map<std::uint64_t, Relay> m_relays;
    std::uint64_t m_lastSequence = 0;
    std::uint64_t m_receivedMessages = 0;
    std::uint64_t m_laterIncarnationsSeen = 0;
    unsigned m_isolatedPeriods = 0;
    Core::Clock::Monotonic m_lastTick;
    Core::Clock::Monotonic m_nextPeriod;
};

} // namespace Membership
