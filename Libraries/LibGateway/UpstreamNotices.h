#pragma once

#include <LibCore/Clock.h>

#include <optional>

namespace Gateway {

/// What an incarnation of an upstream stated in its answers about new requests.
struct UpstreamNotices
{
    /// Whether it is about to shut down.
    bool isLeaving = false;
    /// Until when it wants no requests of this instance.
    Core::Clock::Monotonic refusingUntil = Core::Clock::Monotonic::min();
    /// The requests a second that it takes from all instances together; empty if any number. Known
    /// from an answer to this instance or a sibling at that time.
    std::optional<double> requestsPerSecond;
    Core::Clock::Monotonic limitKnownAt = Core::Clock::Monotonic::min();

    /// A higher limit does not limit anything.
    static constexpr double MaxRequestsPerSecond = 1e6;
};

} // namespace Gateway
