#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Identifier.h>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace Peer {

/// The versions of the peer protocol that a program supports. Two peers use the lower of their
/// newest versions, if both support it.
struct VersionRange
{
    std::uint16_t lowest = 1;
    std::uint16_t newest = 1;
};

/// The identity of a process as announced in its handshake.
struct PeerIdentity
{
    Core::InstanceId instance;
    Core::DataCentreId dataCentre;
    /// Distinguishes successive processes that use the same instance id.
    std::uint64_t incarnation = 0;
    /// The protocol version that both sides of the link agreed on.
    std::uint16_t version = 0;
};

/// Settings of peer links, used by client and server.
struct PeerSettings
{
    std::string environment;
    PeerIdentity self;
    /// The secret that all instances of an environment share. At least 16 bytes.
    std::string key;
    VersionRange versions;
    std::chrono::milliseconds connectTimeout {1'000};
    std::chrono::milliseconds handshakeTimeout {2'000};
    /// A link whose peer accepts no bytes for this long is closed.
    std::chrono::milliseconds writeTimeout {5'000};
    /// An accepted link on which nothing arrives for this long is closed.
    std::chrono::milliseconds idleTimeout {std::chrono::minutes(10)};
    /// The first back-off after a failed connect; it doubles up to the longest one.
    std::chrono::milliseconds retryPause {100};
    std::chrono::milliseconds maxRetryPause {2'000};
    /// The largest payload of a frame that is sent or read.
    std::size_t maxFrameBytes = 1U << 20;
    /// Maximum number of bytes queued for writing on one link.
    std::size_t maxQueuedBytes = 4U << 20;
    /// Maximum number of concurrent requests of one peer.
    std::size_t maxRunningRequests = 256;
    /// Maximum number of accepted connections, including those in their handshake.
    std::size_t maxConnections = 1'024;
    /// Maximum number of outgoing links; the least recently used one is closed first.
    std::size_t maxOutgoingLinks = 512;

    /// Throws Error(SettingsInvalid) when a field has an invalid value.
    void check() const;
};

/// Counters of the peer links of a process. Safe to read from any thread.
struct PeerCounters
{
    std::atomic<std::uint64_t> accepted {0};
    std::atomic<std::uint64_t> connected {0};
    /// Connections that failed the handshake, excluding incompatible ones.
    std::atomic<std::uint64_t> rejected {0};
    std::atomic<std::uint64_t> incompatible {0};
    /// Frames that were too large, failed authentication or did not verify.
    std::atomic<std::uint64_t> invalidFrames {0};
    /// Messages of a kind that only newer programs know.
    std::atomic<std::uint64_t> unknownMessages {0};
    std::atomic<std::uint64_t> requestsTimedOut {0};
    /// Messages dropped because the queue of their link was full.
    std::atomic<std::uint64_t> queueOverflows {0};
    std::atomic<std::uint64_t> bytesSent {0};
    std::atomic<std::uint64_t> bytesReceived {0};
};

} // namespace Peer
