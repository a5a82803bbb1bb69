#include <LibGateway/ConfigurationState.h>

#include <algorithm>

namespace Gateway {

bool ConfigurationState::adopt(Version version)
{
    if (m_current && m_current->version >= version->version)
        return false;
    m_current = std::move(version);
    return true;
}

void ConfigurationState::confirm(Core::Clock::Monotonic readStart)
{
    m_confirmedAt = std::max(m_confirmedAt, readStart);
}

std::chrono::nanoseconds ConfigurationState::age(Core::Clock::Monotonic now) const
{
    if (m_confirmedAt == Core::Clock::Monotonic::min())
        return std::chrono::nanoseconds::max();
    return now - m_confirmedAt;
}

} // namespace Gateway
