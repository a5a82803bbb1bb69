#pragma once

#include <LibCore/Clock.h>

#include <chrono>

namespace Gateway {

/// Estimates the queue of transfers on the link of a KV cache store, which carries them one after
/// another for all instances. An instance knows only its own transfers, so it counts on an equal
/// share of the link: when all instances use the store equally, each sees the actual queue.
class TransferQueue
{
public:
    using Milliseconds = std::chrono::duration<double, std::milli>;

    /// Sets this instance's share of the link, in tokens per millisecond; 0 if the speed of the
    /// link is unknown, and there is no queue then.
    void setRate(double tokensPerMillisecond, Core::Clock::Monotonic now);
    /// Adds a transfer to the queue.
    void add(double tokens, Core::Clock::Monotonic now);
    /// Returns the time until the link has completed the queued transfers.
    Milliseconds wait(Core::Clock::Monotonic now) const;

private:
    double tokensLeft(Core::Clock::Monotonic now) const;

    double m_rate = 0;
    double m_tokens = 0;
    Core::Clock::Monotonic m_updated = Core::Clock::Monotonic::min();
};

} // namespace Gateway
