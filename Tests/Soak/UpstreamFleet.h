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
    /// Reports draining, serves for a while, and is replaced.
    void drain(unsigned target, Time time);
    /// Loses its entry without draining, serves for a while, and is replaced.
    void remove(unsigned target, Time time);
    /// Ends at once and starts again under its id.
    void crash(unsigned target, Time time);
    /// Drains all upstreams of a service in turn.
    void release(const std::string &service);
    /// Lets a share of the upstreams of a service fail for a while.
    void fail(const std::string &service, const UpstreamFaults &faults, double share, Time time);
    /// Writes an entry that names no upstream.
    void writeOddEntry(unsigned target);
    void close();

private:
    using Handle = std::shared_ptr<Upstream>;

    /// Returns an upstream that serves; empty if there is none.
    Handle serving(unsigned target) const;
    boost::asio::awaitable<void> leave(Handle upstream, Time time, bool isRemoval);
    boost::asio::awaitable<void> restart(Handle upstream, Time time);
    boost::asio::awaitable<void> releaseAll(std::string service);
    boost::asio::awaitable<void> clearFaults(std::vector<Handle> upstreams, Time time);
    boost::asio::awaitable<void> awaitStore() const;

    World &m_world;
    std::vector<Handle> m_upstreams;
    unsigned m_count = 0;
};

} // namespace Soak
