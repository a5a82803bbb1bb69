#pragma once

#include "Upstream.h"

#include <memory>
#include <string>
#include <vector>

namespace Soak {

/// The upstreams of all services, and their comings and goings.
class UpstreamFleet
{
public:
    explicit UpstreamFleet(World &world)
        : m_world(world)
    { }

    /// Starts one more upstream under a new id.
    void add(const std::string &service);
    /// What else happens while an upstream leaves.
    struct Departure
    {
        /// Its entry is removed without draining.
        bool isRemoval = false;
        bool saysLeaving = false;
        /// An entry of the time before is written late.
        bool hasStaleEntry = false;
        /// It starts again under its id instead of being replaced.
        bool returns = false;
    };
    /// Leaves, serves for a while, and is replaced.
    void leave(unsigned target, Time time, const Departure &departure);
    /// Ends at once and starts again under its id, with a clock that is off.
    void crash(unsigned target, Time time, Time clockError);
    /// Drains all upstreams of a service in turn.
    void release(const std::string &service);
    /// Lets a share of the upstreams of a service fail for a while.
    void fail(const std::string &service, const UpstreamFaults &faults, double share, Time time);
    /// Writes an entry that names no upstream.
    /// Upstreams of a service, each with the given chance, name a limit for a time.
    void limit(const std::string &service, double requestsPerSecond, double share, Time time);
    void writeOddEntry(unsigned target);
    void close();

private:
    using Handle = std::shared_ptr<Upstream>;

    /// Returns an upstream that serves; empty if there is none.
    Handle serving(unsigned target) const;
    boost::asio::awaitable<void> leaveFor(Handle upstream, Time time, Departure departure);
    boost::asio::awaitable<void> restart(Handle upstream, Time time, Time clockError);
    boost::asio::awaitable<void> releaseAll(std::string service);
    boost::asio::awaitable<void> clearFaults(std::vector<Handle> upstreams, Time time);
    boost::asio::awaitable<void> endLimits(std::vector<Handle> upstreams, Time time);
    boost::asio::awaitable<void> awaitStore() const;

    World &m_world;
    std::vector<Handle> m_upstreams;
    unsigned m_count = 0;
};

} // namespace Soak
