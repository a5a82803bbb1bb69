#pragma once

#include <LibCore/Clock.h>
#include <LibCore/IoThreads.h>
#include <LibCore/Result.h>
#include <LibHttp/Server.h>
#include <LibPlatform/InstanceList.h>
#include <LibRouter/AdminPort.h>
#include <LibRouter/DirectoryWatcher.h>
#include <LibRouter/Instance.h>
#include <LibRouter/LoadProber.h>
#include <LibRouter/RequestRouter.h>

#include <jujubesaddled/Settings.h>

#include <memory>

namespace Daemon {

/// The whole process: the parts of an entry instance, wired together.
class Daemon
{
public:
    /// Opens the ports and starts the background work. Fails with SettingsInvalid or
    /// ConfigurationInvalid.
    static Core::Result<std::unique_ptr<Daemon>> create(const Settings &settings);
    ~Daemon();

    /// Blocks until a signal asks the process to end, then shuts down without cutting a request.
    void runUntilSignal();

private:
    explicit Daemon(const Settings &settings);

    void loadEmbeddedConfiguration();
    void createPlatform();
    void startControl();
    void openPorts();
    void drain();

    Settings m_settings;
    Core::SystemClock m_clock;
    Router::Instance m_instance;
    std::unique_ptr<Platform::InstanceDirectory> m_platformDirectory;
    std::unique_ptr<Router::DirectoryWatcher> m_directoryWatcher;
    Router::LoadProber m_loadProber;
    Router::RequestRouter m_router;
    Router::AdminPort m_adminPort;
    /// Background work stays off the threads that serve requests.
    Core::IoThreads m_controlThread {1};
    Core::IoThreads m_requestThreads;
    std::unique_ptr<Http::Server> m_server;
    std::unique_ptr<Http::Server> m_adminServer;
};

} // namespace Daemon
