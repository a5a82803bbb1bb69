#pragma once

#include <LibCore/Clock.h>

namespace Gateway {

/// What an incarnation of an upstream stated in its answers about new requests.
struct UpstreamNotices
{
    /// Whether it is about to shut down.
    bool isLeaving = false;
    /// Until when it wants no requests of this instance.
    Core::Clock::Monotonic refusingUntil = Core::Clock::Monotonic::min();
};

} // namespace Gateway
