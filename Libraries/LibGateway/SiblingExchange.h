#pragma once

#include <LibGateway/FleetJournal.h>
#include <LibGateway/UpstreamFleet.h>

#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Gateway {

/// Tells siblings in datagrams what this instance sends to which upstream, which prompt parts
/// engines have read, and which weights they were seen to have; and takes in what siblings tell.
/// All of it only makes choices better: a lost datagram or sibling breaks nothing.
class SiblingExchange
{
public:
    SiblingExchange(boost::asio::io_context &context, const GatewaySettings &settings,
                    const Core::Clock &clock, const FleetJournal &journal, UpstreamFleet &fleet);

    /// Opens the port. Throws Error(SettingsInvalid).
    void open();
    boost::asio::awaitable<void> send();
    boost::asio::awaitable<void> receive();

    /// Queues news for the next datagram.
    void tellParts(const Upstream &engine, std::span<const PromptPart> parts);
    /// Parts as the store of parts tells them apart.
    void tellStored(std::span<const PromptPart> parts);
    void tellHold(const Upstream &engine, std::chrono::milliseconds time);
    void tellWeights(const Upstream &engine, const std::string &model, std::uint64_t version);

    /// The next datagram. Public for tests.
    std::string encode();
    /// Takes in a sibling's datagram. Public for tests.
    void apply(std::string_view datagram);
    /// Forgets the load of siblings that went silent.
    void dropSilent();

    /// Called with a part that a sibling saw saved to the store of parts.
    std::function<void(std::span<const PromptPart>)> onStored;

private:
    void queueParts(std::uint64_t holder, std::span<const PromptPart> parts);
    struct Part
    {
        std::uint64_t upstream = 0;
        PromptPart part;
    };
    struct Hold
    {
        std::uint64_t upstream = 0;
        std::chrono::milliseconds time {0};
    };
    struct Weights
    {
        std::uint64_t upstream = 0;
        std::uint64_t model = 0;
        std::uint64_t version = 0;
    };
    struct UpstreamLoad
    {
        WaitingTokens waitingTokens;
        unsigned inFlight = 0;
        std::uint64_t memoryTokens = 0;
    };
    struct Sibling
    {
        std::uint64_t life = 0;
        std::uint64_t number = 0;
        Core::Clock::Monotonic heard;
        bool isSilent = false;
        std::map<std::uint64_t, UpstreamLoad> loads;
    };

    void sumLoads();
    std::chrono::milliseconds interval() const;

    const GatewaySettings &m_settings;
    const Core::Clock &m_clock;
    const FleetJournal &m_journal;
    UpstreamFleet &m_fleet;
    boost::asio::ip::udp::socket m_socket;
    std::map<std::string, Sibling> m_siblings;
    std::vector<Part> m_parts;
    std::vector<Hold> m_holds;
    std::vector<Weights> m_weights;
    std::uint64_t m_life;
    std::uint64_t m_number = 0;
    std::array<char, 65'536> m_buffer {};
};

} // namespace Gateway
