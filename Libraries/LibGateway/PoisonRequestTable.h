#pragma once

#include <LibCore/Clock.h>

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace Gateway {

/// Counts the upstreams that broke down under a request, over all its attempts and instances.
class PoisonRequestTable
{
public:
    /// A request that broke this many upstreams is sent to no further one.
    static constexpr unsigned MaxUpstreamFailures = 3;

    /// Notes that an upstream broke off while it worked on the request.
    void noteUpstreamFailure(std::uint64_t digest, Core::Clock::Monotonic now);
    /// Notes that another instance knows the request to be poison. Such entries are not told on, or
    /// instances would remind each other of them for ever.
    void notePoison(std::uint64_t digest, Core::Clock::Monotonic now);
    bool isPoison(std::uint64_t digest, Core::Clock::Monotonic now) const;
    /// The digests of poison requests whose upstream failures this instance heard of one by one.
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

/// The identity of a request over its attempts: the same path, caller and body.
std::uint64_t requestDigest(const std::string &target, const std::string &tenant,
                            const std::string &body);

} // namespace Gateway
