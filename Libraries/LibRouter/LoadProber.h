#pragma once

#include <LibRouter/Instance.h>

#include <boost/asio/awaitable.hpp>

#include <mutex>
#include <unordered_set>

namespace Router {

/// Asks each engine for its load, again and again, one coroutine an engine. A report also shows
/// that an engine that had failed is back, so that no request has to find out.
class LoadProber
{
public:
    explicit LoadProber(Instance &instance);

    /// Starts and ends probes as engines come and go. Runs until its context stops.
    boost::asio::awaitable<void> run();

private:
    boost::asio::awaitable<void> probe(UpstreamPtr upstream);
    boost::asio::awaitable<void> probeOnce(const UpstreamPtr &upstream);
    bool isEngine(const Upstream &upstream) const;

    Instance &m_instance;
    std::unordered_set<const Upstream *> m_probed;
};

} // namespace Router
