#pragma once

namespace Peer {

class Handshake;
class PeerClient;
class PeerLink;
class PeerServer;
struct FrameKeys;
struct PeerCounters;
struct PeerIdentity;
struct PeerSettings;

} // namespace Peer
