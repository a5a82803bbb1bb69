#pragma once

#include <LibMembership/ProbeService.h>
#include <LibMembership/Snapshot.h>
#include <LibPeer/PeerClient.h>
#include <LibSiblings/SharedStateBridge.h>

#include <boost/asio/awaitable.hpp>

#include <string>
#include <vector>

namespace Siblings {

/// Requests snapshots from a few siblings until one that has run for long enough answers.
class WarmStart
{
public:
    /// All arguments must outlive the object.
    WarmStart(Peer::PeerClient &client, Membership::ProbeService &probes,
              SharedStateBridge &bridge);

    /// Tries the addresses in turn. Returns how complete the collected state is.
    boost::asio::awaitable<Membership::WarmStartResult> run(std::vector<std::string> addresses);

private:
    Peer::PeerClient &m_client;
    Membership::ProbeService &m_probes;
    SharedStateBridge &m_bridge;
};

} // namespace Siblings
