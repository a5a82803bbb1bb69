#pragma once

#include <LibCore/Clock.h>

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace Gateway {

/// Counts the upstream failures during each request, over all its attempts and all instances.
class PoisonRequestTable
{
public:
    /// A request with this many upstream failures is poison, and not sent to any more upstreams.
    static constexpr unsigned MaxUpstreamFailures = 3;

    /// Records that an upstream failed while it executed the request.
    void noteUpstreamFailure(std::uint64_t digest, Core::Clock::Monotonic now);
    /// Records that another instance reported the request as poison. Such entries are not published
    /// again, since instances would otherwise refresh each other's entries forever.
    void notePoison(std::uint64_t digest, Core::Clock::Monotonic now);
    bool isPoison(std::uint64_t digest, Core::Clock::Monotonic now) const;
    /// Returns the digests of the poison requests whose upstream failures were recorded
    /// individually on this instance.
    std::vector<std::uint64_t> poisonDigests(Core::Clock::Monotonic now) const;
    std::size_t size() const { return m_entries.size(); }

private:
    struct Entry
    {
        unsigned failures = 0;
        bool isFromSibling = false;
        Core::Clock::Monotonic lastFailure;
    };

    void removeExpired(Core::Clock::Monotonic now);

    std::unordered_map<std::uint64_t, Entry> m_entries;
};

/// Returns the digest that identifies a request over its attempts: equal for equal path, tenant and
/// body.
std::uint64_t requestDigest(const std::string &target, const std::string &tenant,
                            const std::string &body);

} // namespace Gateway
