#pragma once

#include <LibPlatform/InstanceList.h>
#include <LibRouter/Instance.h>

#include <boost/asio/awaitable.hpp>

#include <functional>

namespace Router {

/// Reads the platform's instance list periodically. While the platform does not answer, the last
/// known list stays in use.
class DirectoryWatcher
{
public:
    using ListHook = std::function<void(const Platform::InstanceList &)>;

    /// The instance and the platform's directory must outlive the watcher.
    DirectoryWatcher(Instance &instance, Platform::InstanceDirectory &platform, ListHook listRead);

    /// Runs until its context stops.
    boost::asio::awaitable<void> run();

private:
    boost::asio::awaitable<void> readOnce();

    Instance &m_instance;
    Platform::InstanceDirectory &m_platform;
    ListHook m_listRead;
    bool m_isPlatformAvailable = true;
};

} // namespace Router
