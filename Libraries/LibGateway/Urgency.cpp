#include <LibGateway/Urgency.h>

#include <algorithm>

namespace Gateway {

namespace {

constexpr int MaxUrgencyLevel = 9;
// Number of urgency levels for each priority.
constexpr int LevelsPerPriority = 3;

int effectivePriority(const Route &route, const Tenant *tenant)
{
    return tenant && tenant->priority ? *tenant->priority : route.priority;
}

} // namespace

int urgencyLevel(const Route &route, const Tenant *tenant, bool isLate)
{
    const int priority = effectivePriority(route, tenant);
    const int level =
        LevelsPerPriority * priority + (isLate ? 1 : 0) + (route.priority > priority ? 1 : 0);
    return std::clamp(level, 0, MaxUrgencyLevel);
}

bool isUrgent(const Route &route, const Tenant *tenant)
{
    return effectivePriority(route, tenant) <= 0 || route.priority <= 0;
}

} // namespace Gateway
