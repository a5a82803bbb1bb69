#pragma once

#include <LibCore/Clock.h>

#include <atomic>

namespace Core {

/// A clock that moves only when told to. Safe to read from several threads.
class ManualClock final : public Clock
{
public:
    Monotonic now() const override;
    Wall wallNow() const override;
    /// Moves both clocks forward by the given time.
    void advance(std::chrono::nanoseconds step);

private:
    std::atomic<std::chrono::nanoseconds::rep> m_elapsed {0};
};

} // namespace Core
