#pragma once

#include <LibCore/Result.h>
#include <LibPeer/PeerSettings.h>

#include <string>
#include <string_view>

namespace Peer {

/// Which side of a connection a process is.
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

/// One side of the handshake, without any input or output: the caller carries the frames.
///
/// The client sends its hello, the server answers with its own, the client proves that it holds
/// the shared key, and then the server does. A proof is an HMAC over the role of its sender and
/// both hellos, so that environment, version, identity, incarnation and both nonces are bound
/// into it and a proof that is sent back is worth nothing. The frame keys come from the same
/// transcript and are new with each connection.
class Handshake
{
public:
    Handshake(const PeerSettings &settings, Role role);

    /// The payload of this side's hello.
    const std::string &hello() const { return m_ownHello; }

    /// Reads the other side's hello. Gives Error(PeerRejected) or Error(FrameInvalid) when the
    /// link cannot be; incompatible() tells whether versions were the cause.
    Core::Result<PeerIdentity> readHello(std::string_view payload);

    /// The payload of this side's proof. Call after readHello().
    std::string proof() const;

    /// Whether the payload proves that the other side holds the shared key.
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
