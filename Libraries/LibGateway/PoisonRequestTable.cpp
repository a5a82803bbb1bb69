#include <LibCore/Hash.h>
#include <LibGateway/PoisonRequestTable.h>

#include <algorithm>

namespace Gateway {

namespace {

// Longer than callers retry, which is bounded by their timeouts.
constexpr std::chrono::minutes RetentionTime {5};
constexpr std::size_t MaxEntries = 10'000;

} // namespace

void PoisonRequestTable::noteUpstreamFailure(std::uint64_t digest, Core::Clock::Monotonic now)
{
    if (m_entries.size() >= MaxEntries)
        removeExpired(now);
    auto &entry = m_entries[digest];
    ++entry.failures;
    entry.lastFailure = now;
}

void PoisonRequestTable::notePoison(std::uint64_t digest, Core::Clock::Monotonic now)
{
    if (isPoison(digest, now))
        return;
    noteUpstreamFailure(digest, now);
    auto &entry = m_entries[digest];
    entry.failures = MaxUpstreamFailures;
    entry.isFromSibling = true;
}

std::vector<std::uint64_t> PoisonRequestTable::poisonDigests(Core::Clock::Monotonic now) const
{
    std::vector<std::uint64_t> digests;
    for (const auto &[digest, entry] : m_entries) {
        if (!entry.isFromSibling && isPoison(digest, now))
            digests.push_back(digest);
    }
    return digests;
}

bool PoisonRequestTable::isPoison(std::uint64_t digest, Core::Clock::Monotonic now) const
{
    const auto it = m_entries.find(digest);
    return it != m_entries.end() && it->second.failures >= MaxUpstreamFailures
           && now - it->second.lastFailure < RetentionTime;
}

void PoisonRequestTable::removeExpired(Core::Clock::Monotonic now)
{
    std::erase_if(m_entries, [now](const auto &item) {
        return now - item.second.lastFailure >= RetentionTime;
    });
    if (m_entries.size() < MaxEntries)
        return;
    const auto oldest = std::min_element(
        m_entries.begin(), m_entries.end(), [](const auto &left, const auto &right) {
            return left.second.lastFailure < right.second.lastFailure;
        });
    m_entries.erase(oldest);
}

std::uint64_t requestDigest(const std::string &target, const std::string &tenant,
                            const std::string &body)
{
    return Core::hash64(body, Core::hash64(tenant, Core::hash64(target)));
}

} // namespace Gateway
