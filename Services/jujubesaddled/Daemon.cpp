#include <LibCore/BackgroundLoop.h>
#include <LibCore/EventLog.h>
#include <LibCore/StartRetry.h>
#include <LibPlatform/EmbeddedLogService.h>
#include <LibPlatform/HttpInstanceDirectory.h>
#include <LibPlatform/HttpLogService.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/json.hpp>
#include <jujubesaddled/Daemon.h>
#include <jujubesaddled/StaticDirectory.h>

#include <fstream>
#include <iterator>
#include <thread>

namespace Daemon {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds PlatformTimeout {2000};
constexpr std::chrono::milliseconds DrainPollInterval {20};
constexpr std::chrono::milliseconds AdmissionTickInterval {100};
constexpr std::chrono::milliseconds FinalAppendTimeout {5'000};
constexpr int RenewalsPerRetention = 8;

Router::RouterSettings routerSettings(const Settings &settings, const Core::Clock &clock)
{
    Router::RouterSettings result;
    result.instance = settings.instance;
    result.dataCentre = settings.dataCentre;
    result.environment = settings.environment;
    const auto started = clock.wallNow().time_since_epoch();
    result.incarnation = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(started).count());
    return result;
}

Http::ServerLimits serverLimits(const Configuration::Limits &limits)
{
    Http::ServerLimits result;
    if (limits.bodyBytes == 0)
        return result;
    result.headerBytes = limits.headerBytes;
    result.bodyBytes = limits.bodyBytes;
    result.requestTime = limits.headerTimeout + limits.bodyTimeout;
    result.idleTime = limits.idleTimeout;
    return result;
}

} // namespace

Core::Result<std::unique_ptr<Daemon>> Daemon::create(const Settings &settings,
                                                     Core::ProcessSignals &signals)
{
    try {
        std::unique_ptr<Daemon> daemon(new Daemon(settings));
        daemon->createPlatform();
        const bool isOpen = Core::retryUntilEnd(signals, Core::EventId::PortUnavailable,
                                                [&daemon] { daemon->openPorts(); });
        if (!isOpen)
            return std::unique_ptr<Daemon>();
        daemon->logPorts();
        daemon->startControl();
        return daemon;
    } catch (const Core::Error &error) {
        return error;
    }
}

Daemon::Daemon(const Settings &settings)
    : m_settings(settings)
    , m_instance(m_clock, routerSettings(settings, m_clock))
    , m_loadProber(m_instance)
    , m_router(m_instance)
    , m_adminPort(m_instance)
    , m_requestThreads(settings.threads)
{ }

Daemon::~Daemon()
{
    stop();
}

void Daemon::stop()
{
    m_controlThread.stop();
    m_requestThreads.stop();
}

void Daemon::createPlatform()
{
    if (m_settings.platform)
        createRemotePlatform();
    else
        createEmbeddedPlatform();
    m_usageReporter =
        std::make_unique<Router::UsageReporter>(m_instance, *m_log, m_settings.usageInterval);
    m_usageAccount = std::make_unique<Router::UsageAccount>(m_instance, *m_log);
    m_adminPort.setUsageHook([this] { return m_usageAccount->report(); });
    createClaims();
}

void Daemon::createSiblings()
{
    if (!m_settings.peer || m_siblings)
        return;
    m_siblings = std::make_unique<Siblings::SiblingService>(
        m_controlThread.at(0), Siblings::SiblingSettings {*m_settings.peer, m_settings.peerKey},
        m_instance, m_configurationReader.get());
    m_adminPort.setStatusHook([this](boost::json::object &status) { addStatus(status); });
    Core::logEvent(Core::EventId::ListeningOn,
                   {{"port", "peer"}, {"address", Http::formatEndpoint(m_siblings->endpoint())}});
}

void Daemon::addStatus(boost::json::object &status) const
{
    boost::json::array siblings;
    for (const auto &member : m_siblings->live()) {
        boost::json::object entry;
        entry["instance"] = member.id.instance.value();
        entry["incarnation"] = member.id.incarnation;
        entry["data_centre"] = member.dataCentre.value();
        entry["suspected"] = member.state == Membership::MemberState::Suspect;
        siblings.push_back(std::move(entry));
    }
    status["siblings"] = std::move(siblings);
}

asio::awaitable<Claims::HolderReply> Daemon::askHolder(Claims::HolderQuery query)
{
    if (!m_siblings)
        co_return Claims::HolderReply {};
    co_return co_await m_siblings->askHolder(std::move(query));
}

void Daemon::createEmbeddedPlatform()
{
    Core::logEvent(
        Core::EventId::EmbeddedPlatformLimits,
        {{"promises", "claims, usage and configuration live in memory: a restart forgets them, so "
                      "a non-repeatable call sent again after a restart may run twice"}});
    m_embeddedLog = std::make_unique<Platform::InMemoryLog>(m_clock, m_settings.logRetention);
    m_log = std::make_unique<Platform::EmbeddedLogService>(*m_embeddedLog);
    m_platformDirectory =
        std::make_unique<StaticDirectory>(m_settings.upstreams, m_settings.dataCentre);
    loadEmbeddedConfiguration();
}

void Daemon::createRemotePlatform()
{
    m_log = std::make_unique<Platform::HttpLogService>(*m_settings.platform, PlatformTimeout);
    m_platformDirectory =
        std::make_unique<Platform::HttpInstanceDirectory>(*m_settings.platform, PlatformTimeout);
    Configuration::ReaderOptions options;
    options.environment = m_settings.environment;
    options.instance = m_settings.instance;
    options.renewalInterval = m_settings.logRetention / RenewalsPerRetention;
    Configuration::ReaderHooks hooks;
    hooks.onAccepted = [this](const Configuration::ConfigurationVersion &version) {
        m_instance.setConfiguration({version.generation, version.document});
        applyLimits(version.document->limits());
    };
    m_configurationReader = std::make_unique<Configuration::ConfigurationReader>(
        options, *m_log, m_clock, m_random, std::move(hooks));
}

void Daemon::createClaims()
{
    Claims::ClaimSettings settings {Claims::KeyWindow::create(m_settings.keyWindow,
                                                              m_settings.clockSkew,
                                                              m_settings.logRetention, ClaimMargin)
                                        .value()};
    // No other instance reads an embedded log, so more streams would only cost additional reads.
    if (m_embeddedLog)
        settings.partitions = 1;
    settings.environment = m_settings.environment;
    const Claims::Holder self {m_settings.instance, m_instance.settings().incarnation};
    m_claims = Claims::ClaimCoordinator::create(
                   m_controlThread.at(0).get_executor(), settings, self, *m_log, m_clock,
                   [this](Claims::HolderQuery query) { return askHolder(std::move(query)); })
                   .value();
    m_instance.setClaims(m_claims);
}

void Daemon::loadEmbeddedConfiguration()
{
    std::ifstream file(m_settings.configurationFile);
    if (!file)
        throw Core::Error(Core::ErrorKind::SettingsInvalid,
                          "--config cannot be read: '" + m_settings.configurationFile + "'");
    const std::string text((std::istreambuf_iterator<char>(file)), {});
    m_instance.setConfiguration({1, Configuration::Document::parse(text).value()});
    m_limits = m_instance.configuration().document->limits();
}

void Daemon::applyLimits(const Configuration::Limits &limits)
{
    m_server->setLimits(serverLimits(limits));
}

void Daemon::openPorts()
{
    const auto limits = serverLimits(m_limits);
    createSiblings();
    if (!m_server)
        m_server = Http::Server::create(
                       m_requestThreads, m_settings.listen, limits,
                       [this](Http::ServerExchange &exchange) { return m_router.handle(exchange); })
                       .value();
    if (!m_adminServer)
        m_adminServer = Http::Server::create(m_controlThread, m_settings.admin, limits,
                                             [this](Http::ServerExchange &exchange) {
                                                 return m_adminPort.handle(exchange);
                                             })
                            .value();
}

void Daemon::logPorts()
{
    Core::logEvent(
        Core::EventId::ListeningOn,
        {{"port", "callers"}, {"address", Http::formatEndpoint(m_server->localEndpoint())}});
    Core::logEvent(
        Core::EventId::ListeningOn,
        {{"port", "admin"}, {"address", Http::formatEndpoint(m_adminServer->localEndpoint())}});
}

void Daemon::startControl()
{
    m_directoryWatcher = std::make_unique<Router::DirectoryWatcher>(
        m_instance, *m_platformDirectory, [this](const Platform::InstanceList &list) {
            if (m_siblings)
                m_siblings->noteList(list);
        });
    if (m_siblings)
        m_siblings->start();
    const auto spawn = [this](std::string name, Core::LoopBody body) {
        Core::spawnLoop(m_controlThread.at(0).get_executor(), std::move(name), std::move(body));
    };
    spawn("list of instances", [this] { return m_directoryWatcher->run(); });
    spawn("load reports", [this] { return m_loadProber.run(); });
    spawn("admission", [this] { return tickAdmission(); });
    spawn("usage", [this] { return m_usageReporter->run(); });
    if (m_configurationReader)
        spawn("configuration", [this] { return m_configurationReader->run(); });
    m_claims->start();
}

asio::awaitable<void> Daemon::tickAdmission()
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (true) {
        m_instance.tickAdmission();
        timer.expires_after(AdmissionTickInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

void Daemon::runUntilSignal(Core::ProcessSignals &signals)
{
    while (!Core::ProcessSignals::endsProgram(signals.next())) {
        // There is no settings file to reload.
    }
    drain();
}

void Daemon::drain()
{
    m_instance.drain();
    if (m_siblings)
        m_siblings->leave();
    waitForRequests();
    flushRecords();
    Core::logEvent(Core::EventId::ProcessStopped,
                   {{"cut_requests", std::to_string(m_server->activeExchanges())}});
}

void Daemon::waitForRequests()
{
    const auto begun = m_clock.now();
    const auto elapsed = [&] { return m_clock.now() - begun; };
    while (elapsed() < m_settings.drainGrace)
        std::this_thread::sleep_for(DrainPollInterval);
    m_server->stopAccepting();
    while (!m_server->hasEnded() && elapsed() < m_settings.drainLimit) {
        m_server->closeIdle();
        std::this_thread::sleep_for(DrainPollInterval);
    }
}

void Daemon::flushRecords()
{
    const auto begun = m_clock.now();
    auto finished =
        asio::co_spawn(m_controlThread.at(0), m_usageReporter->finish(), asio::use_future);
    finished.wait_for(FinalAppendTimeout);
    while (m_claims->pendingRecords() > 0 && m_clock.now() - begun < FinalAppendTimeout)
        std::this_thread::sleep_for(DrainPollInterval);
    m_claims->stop();
}

} // namespace Daemon
