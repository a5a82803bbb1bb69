#include <LibHttp/Endpoint.h>
#include <LibSiblings/WarmStart.h>

namespace Siblings {

namespace {

constexpr std::chrono::milliseconds WarmUptime {30'000};
constexpr std::chrono::milliseconds SnapshotTimeout {1'000};
constexpr std::uint32_t SnapshotBytes = 256 * 1024;
constexpr std::size_t MaxSiblingsAsked = 3;

} // namespace

WarmStart::WarmStart(Peer::PeerClient &client, Membership::ProbeService &probes,
                     SharedStateBridge &bridge)
    : m_client(client)
    , m_probes(probes)
    , m_bridge(bridge)
{ }

boost::asio::awaitable<Membership::WarmStartResult>
WarmStart::run(std::vector<std::string> addresses)
{
    Membership::SnapshotCollector collector(m_bridge.snapshotContext(), WarmUptime);
    if (addresses.size() > MaxSiblingsAsked)
        addresses.resize(MaxSiblingsAsked);
    for (const auto &address : addresses) {
        if (collector.isDone())
            break;
        Peer::Wire::SnapshotRequestT request;
        request.environment = m_bridge.snapshotContext().environment;
        request.version = Membership::SnapshotVersion;
        request.max_bytes = SnapshotBytes;
        try {
            Peer::PeerAddress target;
            target.endpoint = Http::parseEndpoint(address).value();
            auto body = Peer::makeBody(std::move(request));
            auto reply = co_await m_client.request(target, std::move(body), SnapshotTimeout);
            const auto snapshot = Peer::takeReply<Peer::Wire::SnapshotT>(reply);
            m_probes.adopt(collector.add(snapshot, address, m_bridge.state()));
        } catch (const Core::Error &) {
            // Another sibling may answer. Without any snapshot, preferred upstreams are determined
            // by hashing alone.
        }
    }
    co_return collector.result();
}

} // namespace Siblings
