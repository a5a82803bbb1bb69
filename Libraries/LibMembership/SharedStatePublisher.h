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
    /// What is sent each second, frames and all, whatever the size of the fleet.
    std::size_t bytesPerSecond = 3'072;
    /// One sibling is sent to each round. What is new so reaches twice as many each round.
    std::chrono::milliseconds roundPeriod {250};
    /// The share of rounds that go to the own data centre, while it has others.
    double ownDataCentreShare = 0.5;
};

/// Sends the most valuable shared state to one random live sibling each round, within a fixed
/// budget of bytes. Not thread-safe; run it on the strand of its SharedState.
class SharedStatePublisher
{
public:
    struct Hooks
    {
        /// The live siblings.
        std::function<std::vector<Member>()> siblings;
        /// Sends a one-way message to IP:port. May lose it.
        std::function<void(const std::string &address, Peer::Body message)> send;
    };

    SharedStatePublisher(const Core::Clock &clock, std::mt19937_64 &rng, SharedState &state,
                         Core::DataCentreId dataCentre, const PublisherSettings &settings,
                         Hooks hooks);

    /// Does what is due. Call at least once a round.
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
