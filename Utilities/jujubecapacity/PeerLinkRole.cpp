#include "Measure.h"
#include "Roles.h"

#include <LibMembership/MembershipMessage.h>
#include <LibPeer/PeerClient.h>
#include <LibPeer/PeerServer.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <memory>

using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

constexpr std::size_t Exchanges = 20;
constexpr std::size_t UpdatesPerMessage = 8;

Membership::Member exampleMember(std::size_t number)
{
    return {{Core::InstanceId("entry-" + std::to_string(number)), 1'700'000'000'000},
            1,
            Membership::MemberState::Suspect,
            Core::DataCentreId("harju-1"),
            "10.0.1." + std::to_string(number) + ":7000"};
}

Peer::Body exampleProbe()
{
    Membership::Probe probe {1, exampleMember(1), {}};
    for (std::size_t n = 0; n < UpdatesPerMessage; ++n)
        probe.updates.push_back(exampleMember(n));
    return Membership::toBody(probe);
}

Peer::PeerSettings settingsOf(std::size_t number)
{
    Peer::PeerSettings settings;
    settings.environment = "capacity";
    settings.self = {Core::InstanceId("entry-" + std::to_string(number)),
                     Core::DataCentreId("harju-1"), 1, 0};
    settings.key = "a key for measuring only";
    return settings;
}

/// Sets up one server, and one client process with its end of the link per sibling.
class LinkBench
{
public:
    explicit LinkBench(std::size_t count)
    {
        const auto make = [&](std::size_t number) {
            m_settings.push_back(std::make_unique<Peer::PeerSettings>(settingsOf(number)));
            return m_settings.back().get();
        };
        Peer::PeerHandlers handlers;
        handlers.onRequest = [](Peer::PeerIdentity,
                                Peer::Body body) -> asio::awaitable<Peer::Body> { co_return body; };
        const asio::ip::tcp::endpoint anyPort(asio::ip::make_address("127.0.0.1"), 0);
        m_server =
            Peer::PeerServer::create(m_context, anyPort, handlers, *make(0), m_counters).value();
        m_server->start();
        for (std::size_t n = 1; n <= count; ++n)
            m_clients.push_back(
                Peer::PeerClient::create(m_context, {}, *make(n), m_clientCounters));
    }
    ~LinkBench()
    {
        m_server->stop();
        for (const auto &client : m_clients)
            client->close();
        m_context.restart();
        m_context.run_for(100ms);
    }
    LinkBench(const LinkBench &) = delete;
    LinkBench &operator=(const LinkBench &) = delete;

    /// Lets every client send the given number of requests, one after the other.
    void sendRequestsFromAll(std::size_t times)
    {
        m_pendingClients = m_clients.size();
        for (const auto &client : m_clients)
            asio::co_spawn(m_context, sendRequests(client, times), asio::detached);
        m_context.restart();
        while (m_pendingClients > 0)
            m_context.run_one();
    }
    std::uint64_t bytes() const { return m_counters.bytesSent + m_counters.bytesReceived; }
    std::uint64_t connected() const { return m_clientCounters.connected; }

private:
    asio::awaitable<void> sendRequests(std::shared_ptr<Peer::PeerClient> client, std::size_t times)
    {
        for (std::size_t n = 0; n < times; ++n)
            co_await client->request({m_server->endpoint(), {}}, exampleProbe(), 30s);
        --m_pendingClients;
    }

    asio::io_context m_context;
    std::vector<std::unique_ptr<Peer::PeerSettings>> m_settings;
    Peer::PeerCounters m_counters;
    Peer::PeerCounters m_clientCounters;
    std::shared_ptr<Peer::PeerServer> m_server;
    std::vector<std::shared_ptr<Peer::PeerClient>> m_clients;
    std::size_t m_pendingClients = 0;
};

std::vector<std::string> measureLinks(std::size_t count)
{
    LinkBench bench(count);
    const auto links = static_cast<double>(count);
    const auto heapBefore = heapBytes();
    auto before = processorTime();
    bench.sendRequestsFromAll(1);
    const auto opening = (processorTime() - before).count() / links;
    const auto heap = (heapBytes() - heapBefore) / links / 2;
    const auto openingBytes = static_cast<double>(bench.bytes()) / links;
    before = processorTime();
    bench.sendRequestsFromAll(Exchanges);
    const auto exchanges = links * Exchanges;
    const auto exchange = (processorTime() - before).count() / exchanges;
    const auto bytes = (static_cast<double>(bench.bytes()) - openingBytes * links) / exchanges;
    return {std::to_string(bench.connected()), formatNumber(heap / 1024),
            formatNumber(opening * 1e6),       formatNumber(openingBytes - bytes),
            formatNumber(exchange * 1e6),      formatNumber(bytes)};
}

} // namespace

std::vector<Table> measurePeerLink(Extent extent)
{
    Table table {"Peer link, both ends in one process over loopback",
                 {"links", "heap KiB an end", "processor us to open and ask once",
                  "bytes of a handshake", "processor us a request and its answer",
                  "bytes of a request and its answer, eight members each"},
                 {}};
    table.rows.push_back(measureLinks(40));
    if (extent == Extent::Full)
        table.rows.push_back(measureLinks(339));
    return {table};
}
