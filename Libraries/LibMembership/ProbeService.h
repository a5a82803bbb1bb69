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

/// Callbacks through which the probe service sends messages and reports changes.
struct MembershipHooks
{
    /// Sends a message without blocking to the process that listens at IP:port. Delivery is not
    /// guaranteed.
    std::function<void(const std::string &address, const Message &message)> send;
    /// Called for each membership change. May be empty.
    std::function<void(const Member &member, MemberChange change)> changed;
};

/// Discovers the other instances and detects which of them are alive, by probing a few of them each
/// period; the cost per node does not grow with the fleet. Performs no I/O, reads only the clock
/// that is passed in, and is not thread-safe: run it on one strand.
///
/// Siblings are discovered through the platform's instance list and through updates from other
/// members. A member that answers neither direct nor indirect probes is suspected. The suspicion is
/// disseminated, also to the suspect itself, which refutes it by raising its refutation counter. A
/// member is dropped only when the suspicion lasts for the whole timeout. Dropped members are still
/// probed now and then, so that a healed partition is detected without the platform.
class ProbeService
{
public:
    /// Returns Error(SettingsInvalid) when the settings or the identity are unusable. The clock and
    /// the random generator must outlive the service.
    static Core::Result<std::unique_ptr<ProbeService>> create(const MembershipSettings &settings,
                                                              Member self, const Core::Clock &clock,
                                                              std::mt19937_64 &rng,
                                                              MembershipHooks hooks);

    ProbeService(const ProbeService &) = delete;
    ProbeService &operator=(const ProbeService &) = delete;

    /// Performs all due actions. Must be called at least four times per period.
    void tick();

    /// Processes a message received over the peer link.
    void receive(const Message &message);

    /// Sets the addresses of the other instances in the platform's current list. The list lags
    /// behind, so it only adds candidates and never drops a member.
    void noteListed(std::vector<std::string> addresses);

    /// Merges the members of a sibling's snapshot.
    void adopt(const std::vector<Member> &members);

    /// Announces that this process accepts no new work and is about to shut down.
    void leave();

    const Member &self() const { return m_self; }
    /// Returns the alive and suspected members, without this process.
    std::vector<Member> live() const;
    const MemberTable &table() const { return m_table; }
    /// Returns how often a process with this instance id and a later incarnation has been seen.
    std::uint64_t laterIncarnationsSeen() const { return m_laterIncarnationsSeen; }

private:
    struct PendingProbe
    {
        /// Empty when the probe goes to a listed address or to a dropped member.
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
