#pragma once

#include <LibCore/Clock.h>
#include <LibMembership/ByteBudget.h>
#include <LibMembership/Member.h>
#include <LibMembership/SharedState.h>

#include <chrono>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace Membership {

struct PublisherSettings
{
    /// Bytes sent per second, including framing, independent of the fleet size.
    std::size_t bytesPerSecond = 3'072;
    /// The interval between rounds. Each round sends to one sibling, so an update can reach twice
    /// as many instances each round.
    std::chrono::milliseconds roundPeriod {250};
    /// The share of rounds that send to a sibling in the own data centre, if there is one.
    double ownDataCentreShare = 0.5;
};

/// Sends the most valuable shared state to one random live sibling each round, within a fixed byte
/// budget. Not thread-safe; run it on the strand of its SharedState.
class SharedStatePublisher
{
public:
    struct Hooks
    {
        /// Returns the live siblings.
        std::function<std::vector<Member>()> siblings;
        /// Sends a one-way message to IP:port. Delivery is not guaranteed.
        std::function<void(const std::string &address, Peer::Body message)> send;
    };

    SharedStatePublisher(const Core::Clock &clock, std::mt19937_64 &rng, SharedState &state,
                         Core::DataCentreId dataCentre, const PublisherSettings &settings,
                         Hooks hooks);

    /// Performs the round if it is due. Must be called at least once per round.
    void tick();

private:
    const Member *chooseReceiver(const std::vector<Member> &siblings);

    const Core::Clock &m_clock;
    std::mt19937_64 &m_rng;
    SharedState &m_state;
    const Core::DataCentreId m_dataCentre;
    const PublisherSettings m_settings;
    Hooks m_hooks;
    ByteBudget m_budget;
    Core::Clock::Monotonic m_nextRound;
};

} // namespace Membership
