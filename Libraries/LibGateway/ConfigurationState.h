#pragma once

#include <LibCore/Clock.h>
#include <LibGateway/GatewayConfiguration.h>

#include <memory>

namespace Gateway {

/// The configuration in force on this instance, and how old the knowledge is that it is the newest.
/// It never goes back to a lower version in one life of the process.
class ConfigurationState
{
public:
    using Version = std::shared_ptr<const GatewayConfiguration>;

    /// Puts the version in force unless one as new is. Returns whether it did.
    bool adopt(Version version);
    /// Notes that a read that was asked at the given time showed nothing newer than what is in
    /// force.
    void confirm(Core::Clock::Monotonic readStart);

    /// The configuration in force; null before the first.
    const Version &current() const { return m_current; }
    /// The time since the newest read that confirmed the configuration was asked; the largest
    /// duration before any.
    std::chrono::nanoseconds age(Core::Clock::Monotonic now) const;

private:
    Version m_current;
    Core::Clock::Monotonic m_confirmedAt = Core::Clock::Monotonic::min();
};

} // namespace Gateway
