#pragma once

#include <LibCore/Clock.h>

#include <atomic>

namespace Core {

/// A clock for tests that only moves on advance(). Safe to read from several threads.
class ManualClock final : public Clock
{
public:
    Monotonic now() const override;
    Wall wallNow() const override;
    /// Advances monotonic and calendar time by the given duration.
    void advance(std::chrono::nanoseconds step);

private:
    std::atomic<std::chrono::nanoseconds::rep> m_elapsed {0};
};

} // namespace Core
