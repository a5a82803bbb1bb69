#pragma once

#include <LibCore/Result.h>
#include <LibPeer/PeerSettings.h>

#include <string>
#include <string_view>

namespace Peer {

/// The role of a process on a connection.
enum class Role {
    Client,
    Server,
};

/// The keys that authenticate the frames of one link, one for each direction.
struct FrameKeys
{
    std::string sending;
    std::string receiving;
};

/// One side of the handshake, without I/O: the caller sends and receives the frames.
///
/// The client sends its hello, the server answers with its own, the client proves that it holds
/// the shared key, and then the server does. A proof is an HMAC over the role of its sender and
/// both hellos, so that it covers environment, version, identity, incarnation and both nonces, and
/// a reflected proof is not valid. The frame keys are derived from the same transcript and differ
/// for each connection.
class Handshake
{
public:
    Handshake(const PeerSettings &settings, Role role);

    /// Returns the payload of this side's hello.
    const std::string &hello() const { return m_ownHello; }

    /// Reads the other side's hello. Fails with PeerRejected or FrameInvalid when it is not
    /// acceptable; incompatible() returns whether the versions were the cause.
    Core::Result<PeerIdentity> readHello(std::string_view payload);

    /// Returns the payload of this side's proof. Call after readHello().
    std::string proof() const;

    /// Returns whether the payload proves that the other side has the shared key.
    bool verifyProof(std::string_view payload) const;

    FrameKeys frameKeys() const;
    bool incompatible() const { return m_incompatible; }

private:
    std::string keyedDigest(std::string_view label) const;
    std::string proofDigest(Role role) const;

    const PeerSettings &m_settings;
    Role m_role;
    bool m_incompatible = false;
    std::string m_ownHello;
    std::string m_otherHello;
};

} // namespace Peer
