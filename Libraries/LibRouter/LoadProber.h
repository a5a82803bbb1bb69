#pragma once

#include <LibRouter/Instance.h>

#include <boost/asio/awaitable.hpp>

#include <mutex>
#include <unordered_set>

namespace Router {

/// Polls the load of each engine periodically, with one coroutine per engine. A report also shows
/// that a failed engine has recovered, so that no request has to test it.
class LoadProber
{
public:
    explicit LoadProber(Instance &instance);

    /// Starts and stops probes as engines are added and removed. Runs until its context stops.
    boost::asio::awaitable<void> run();

private:
    boost::asio::awaitable<void> probe(UpstreamPtr upstream);
    boost::asio::awaitable<void> probeOnce(const UpstreamPtr &upstream);
    bool isEngine(const Upstream &upstream) const;

    Instance &m_instance;
    std::unordered_set<const Upstream *> m_probed;
};

} // namespace Router
