#include <LibRouter/Upstream.h>

#include <algorithm>

namespace Router {

namespace {
constexpr std::chrono::milliseconds FirstSuspicion {250};
constexpr std::uint32_t MostDoublings = 5;
} // namespace

Upstream::Upstream(Core::UpstreamId id, Core::UpstreamGroupId group, Core::DataCentreId dataCentre,
                   Http::Endpoint endpoint, std::uint64_t incarnation)
    : m_id(std::move(id))
    , m_group(std::move(group))
    , m_dataCentre(std::move(dataCentre))
    , m_endpoint(std::move(endpoint))
    , m_incarnation(incarnation)
{ }

bool Upstream::noteIncarnation(std::uint64_t incarnation)
{
    auto known = m_incarnation.load();
    while (incarnation > known) {
        if (m_incarnation.compare_exchange_weak(known, incarnation))
            return true;
    }
    return false;
}

bool Upstream::isSuspected(Core::Clock::Monotonic now) const
{
    return now.time_since_epoch().count() < m_suspectedUntil.load(std::memory_order_relaxed);
}

void Upstream::noteFailure(Core::Clock::Monotonic now)
{
    const auto doublings = std::min(m_failuresInRow.fetch_add(1), MostDoublings);
    const auto until = now + FirstSuspicion * (1U << doublings);
    m_suspectedUntil = until.time_since_epoch().count();
}

void Upstream::noteSuccess()
{
    m_failuresInRow = 0;
    m_suspectedUntil = 0;
}

} // namespace Router
