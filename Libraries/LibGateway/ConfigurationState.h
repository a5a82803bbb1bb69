#pragma once

#include <LibCore/Clock.h>
#include <LibGateway/GatewayConfiguration.h>

#include <memory>

namespace Gateway {

/// The configuration in force on this instance, and the time since it was last confirmed to be the
/// newest. The version never decreases during the lifetime of the process.
class ConfigurationState
{
public:
    using Version = std::shared_ptr<const GatewayConfiguration>;

    /// Puts the version in force unless it is older than or equal to the current one. Returns
    /// whether the configuration changed.
    bool adopt(Version version);
    /// Records that a read started at the given time found no version newer than the current one.
    void confirm(Core::Clock::Monotonic readStart);

    /// Returns the configuration in force; null until the first one has been adopted.
    const Version &current() const { return m_current; }
    /// Returns the time since the start of the latest read that confirmed the configuration; the
    /// maximum duration if there was none.
    std::chrono::nanoseconds age(Core::Clock::Monotonic now) const;

private:
    Version m_current;
    Core::Clock::Monotonic m_confirmedAt = Core::Clock::Monotonic::min();
};

} // namespace Gateway
