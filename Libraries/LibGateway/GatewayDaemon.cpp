#include <LibCore/BackgroundLoop.h>
#include <LibCore/EventLog.h>
#include <LibCore/StartRetry.h>
#include <LibGateway/GatewayDaemon.h>
#include <LibGateway/MemoryAdmission.h>
#include <LibGateway/RequestLog.h>
#include <LibGateway/RoomSearch.h>
#include <LibGateway/TeamAdmission.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>

#include <algorithm>
#include <future>

namespace Gateway {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

// One thread serves everything, so that requests and prefix-cache estimates need no locks.
constexpr std::size_t ThreadCount = 1;
constexpr auto DrainPollInterval = 50ms;
constexpr auto EndPollInterval = 10ms;
constexpr auto CountInterval = 200ms;
// Shorter until the members are known, because the instance is not ready before.
constexpr auto InitialCountInterval = 20ms;
constexpr auto SettingsPollInterval = 1'000ms;
// One may be cut off from the store.
constexpr std::size_t PoisonWriters = 2;

/// Returns the memory for what the instance holds for others: requests, answers and what callers
/// have not read.
std::size_t bodyLimit(const GatewaySettings &settings)
{
    // For the program itself, its connections and what the kernel holds for them.
    constexpr std::size_t ProgramBytes = std::size_t {48} * 1024 * 1024;
    if (!settings.isMemoryScarce || settings.memoryBytes <= ProgramBytes)
        return settings.bodyMemoryBytes;
    return std::max(settings.bodyMemoryBytes, (settings.memoryBytes - ProgramBytes) / 2);
}

/// Returns the key of the duties of a cause of crashes: to record it and to try it again.
std::string dutyOf(std::uint64_t cause)
{
    return "poison part " + formatHash(cause);
}

} // namespace

GatewayDaemon::GatewayDaemon(const GatewaySettings &settings, GatewayInterfaces interfaces)
    : m_settings(settings)
    , m_interfaces(interfaces)
    , m_threads(ThreadCount)
    , m_bodyBudget(std::make_shared<Http::BodyBudget>(bodyLimit(m_settings)))
    , m_gateway({m_settings, m_interfaces.clock, m_interfaces.dialect, m_configuration, m_weights,
                 m_fleet, m_client})
    , m_members({m_settings.instance, m_settings.dataCentre, m_settings.siblings,
                 m_settings.linkMegabits},
                m_interfaces.clock)
    , m_relay(m_interfaces.clock)
    , m_log({m_interfaces.log, m_relay, m_members, m_interfaces.clock, m_settings})
    , m_watcher({m_log, m_interfaces.decoder, m_interfaces.clock, m_configuration, m_weights,
                 m_fleet, m_settings},
                [this] { applyConfiguration(); })
    , m_journal(m_log, m_interfaces.clock, m_settings, m_gateway.poison(), m_members)
    , m_poisonNews(m_gateway.poison(), m_interfaces.clock)
    , m_speeds({m_interfaces.clock, m_fleet,
                [this](const std::string &service, std::optional<double> rate) {
                    m_gateway.engineModel(service).setMedianRate(rate);
                },
                [this] { return m_settings.placesByEngineSpeed; }})
    , m_siblings(m_threads.at(0),
                 {m_interfaces.clock, m_members, m_fleet, m_gateway.stores(), m_weights,
                  m_poisonNews, &m_speeds,
                  m_settings.sharesEnginesAmongTeams ? &m_gateway.teamRoom() : nullptr})
    , m_engineQueues(m_threads.at(0),
                     {m_interfaces.clock, m_members, m_fleet,
                      [this](const std::string &service) {
                          return m_gateway.engineModel(service).tokensPerMillisecond();
                      },
                      [this](const Http::Endpoint &sibling, std::string_view datagram) {
                          m_siblings.sendTo(sibling, datagram);
                      },
                      [this](std::uint64_t upstream, const EngineQueue::Prefill &prefill) {
                          noteEnginePrefill(upstream, prefill);
                      },
                      [this](const std::string &name) {
                          const auto &current = m_configuration.current();
                          const auto *service = current ? current->findService(name) : nullptr;
                          return service && !service->engine;
                      }})
    , m_quotas(m_threads.at(0), {m_interfaces.clock, m_members,
                                 [this](const Http::Endpoint &sibling, std::string_view datagram) {
                                     m_siblings.sendTo(sibling, datagram);
                                 }})
    , m_rateLimits(m_threads.at(0),
                   {m_interfaces.clock, m_members, m_fleet,
                    [this](const Http::Endpoint &sibling, std::string_view datagram) {
                        m_siblings.sendTo(sibling, datagram);
                    }})
    , m_storeMonitor({m_gateway.stores(), m_interfaces.engines, m_members, m_interfaces.clock})
    , m_cacheSnapshots({m_log, m_members, m_fleet, m_gateway.stores(), m_interfaces.clock})
    , m_weightsRollout({m_journal, m_members, m_interfaces.engines, m_fleet, m_weights,
                        m_interfaces.clock, m_gateway.metrics(), m_settings})
{
    connectCallbacks();
    connectPoison();
    connectRetrySlack();
    addGauges();
    addSpeedGauges();
    addLimitGauge();
}

GatewayDaemon::~GatewayDaemon()
{
    m_threads.stop();
}

void GatewayDaemon::start()
{
    openPorts();
    Core::logEvent(Core::EventId::ProcessStarted,
                   {{"instance", m_settings.instance.value()}, {"version", JUJUBE_VERSION}});
    Core::logEvent(Core::EventId::ListeningOn,
                   {{"port", "callers"}, {"address", Http::formatEndpoint(callers())}});
    Core::logEvent(Core::EventId::ListeningOn,
                   {{"port", "readiness"}, {"address", Http::formatEndpoint(readiness())}});
    startLoops();
}

void GatewayDaemon::openPorts()
{
    Http::ServerLimits limits;
    limits.bodyBudget = m_bodyBudget;
    const auto open = [&](std::unique_ptr<Http::Server> &server, const Http::Endpoint &endpoint,
                          Http::Server::Handler handler) {
        if (!server)
            server = Http::Server::create(m_threads, endpoint, limits, std::move(handler), [this] {
                         m_client.closeIdleHalf();
                     }).value();
    };
    open(m_callers, m_settings.callers,
         [this](auto &exchange) { return m_gateway.handle(exchange); });
    open(m_readiness, m_settings.readiness,
         [this](auto &exchange) { return answerOperator(exchange); });
    open(m_siblingCalls, m_settings.siblings,
         [this](auto &exchange) { return m_relay.answer(exchange); });
    m_siblings.open();
}

int GatewayDaemon::run(Core::ProcessSignals &signals)
{
    if (!Core::retryUntilEnd(signals, Core::EventId::PortUnavailable, [this] { start(); }))
        return 0;
    serve(signals);
    asio::co_spawn(m_threads.at(0), drain(), asio::use_future).get();
    Core::logEvent(Core::EventId::ProcessStopped,
                   {{"cut_requests", std::to_string(m_callers->activeExchanges())}});
    return 0;
}

void GatewayDaemon::serve(Core::ProcessSignals &signals)
{
    while (!Core::ProcessSignals::endsProgram(signals.next())) {
        asio::post(m_threads.at(0), [this] {
            if (const auto settings = reload ? reload(true) : std::nullopt)
                applySettings(*settings);
        });
    }
}

void GatewayDaemon::startLoops()
{
    const auto spawn = [this](std::string name, Core::LoopBody body) {
        Core::spawnLoop(m_threads.at(0).get_executor(), std::move(name), std::move(body));
    };
    spawn("operator's log", [this] { return m_watcher.watchOperator(); });
    spawn("list of upstreams", [this] { return m_watcher.watchUpstreams(); });
    spawn("journal", [this] { return m_journal.watch(); });
    spawn("announcements", [this] { return m_journal.announce(); });
    spawn("causes of crashes", [this] { return m_journal.writePoison(); });
    spawn("reports to siblings", [this] { return m_siblings.send(); });
    spawn("urgent reports to siblings", [this] { return m_siblings.sendUrgent(); });
    spawn("datagrams of siblings", [this] { return m_siblings.receive(); });
    spawn("queues of engines", [this] { return m_engineQueues.run(); });
    spawn("limits of upstreams", [this] { return m_rateLimits.run(); });
    spawn("speeds of engines", [this] { return m_speeds.run(); });
    spawn("cache snapshots", [this] { return m_cacheSnapshots.run(); });
    spawn("weights rollout", [this] { return m_weightsRollout.run(); });
    spawn("count of instances", [this] { return countInstances(); });
    spawn("KV cache stores", [this] { return m_storeMonitor.run(); });
    spawn("settings file", [this] { return watchSettings(); });
}

void GatewayDaemon::connectCallbacks()
{
    m_gateway.onPartsRead = [this](const Upstream &engine, std::span<const PromptPart> parts) {
        m_siblings.publishParts(engine, parts);
    };
    m_gateway.onPartsStored = [this](const KvCacheStore &store, std::span<const PromptPart> parts) {
        m_siblings.publishStoredParts(store, parts);
    };
    m_log.onStoreCall = [this](FleetTopic topic, std::string_view call) {
        m_gateway.metrics().storeCalls.add(1, {},
                                           std::string(nameOf(topic)) + " " + std::string(call));
    };
    m_gateway.unreadAnswers()->onDropped = [this](bool isRepeatable,
                                                  std::chrono::nanoseconds unread) {
        noteUnreadDropped(m_gateway, isRepeatable, unread);
    };
    m_gateway.setEngineQueues(&m_engineQueues);
    m_gateway.setQuotas(&m_quotas);
    m_gateway.setRateLimits(&m_rateLimits);
    m_siblings.onDatagram = [this](std::string_view datagram, const Http::Endpoint &from) {
        if (EngineQueueExchange::isQueueMessage(datagram))
            m_engineQueues.apply(datagram, from);
        else if (QuotaExchange::isQuotaMessage(datagram))
            m_quotas.apply(datagram, from);
        else if (RateLimitExchange::isRateLimitMessage(datagram))
            m_rateLimits.apply(datagram, from);
        else
            return false;
        return true;
    };
    m_storeMonitor.onAnswer = [this](std::uint64_t holder, std::uint64_t epoch) {
        m_siblings.publishStoreEpoch(holder, epoch);
    };
    m_gateway.onUnreachable = [this](const Upstream &upstream) {
        m_siblings.publishUnreachable(upstream);
    };
    m_gateway.onWeightsSeen = m_weightsRollout.onWeightsSeen =
        [this](const auto &engine, const auto &model, std::uint64_t version) {
            m_siblings.publishWeights(engine, model, version);
        };
    m_gateway.onWeightsMismatch = [this](const std::shared_ptr<Upstream> &engine) {
        asio::co_spawn(m_threads.at(0), m_weightsRollout.refresh(engine), asio::detached);
    };
    m_gateway.onPause =
        m_weightsRollout.onPause = [this](const Upstream &engine, std::chrono::milliseconds time) {
            m_siblings.publishPause(engine, time);
        };
}

void GatewayDaemon::connectPoison()
{
    auto &table = m_gateway.poison();
    m_gateway.onCasualty = [this](const Casualty &casualty) { m_poisonNews.publish(casualty); };
    m_gateway.isTryingCause = [this](std::uint64_t cause) {
        return m_members.isFirst(dutyOf(cause));
    };
    table.onPoison = [this](const PoisonEvidence::Charge &charge) {
        const auto event =
            charge.isRequest ? Core::EventId::PoisonRequestFound : Core::EventId::PoisonPartFound;
        Core::logEvent(event, {{charge.isRequest ? "digest" : "part", formatHash(charge.suspect)},
                               {"crashes", std::to_string(charge.crashes)},
                               {"requests", std::to_string(charge.requests)}});
        if (m_members.reachableBefore(dutyOf(charge.suspect)) < PoisonWriters)
            m_journal.notePoison();
    };
    table.onAcquitted = [](std::uint64_t cause) {
        Core::logEvent(Core::EventId::PoisonAcquitted, {{"cause", formatHash(cause)}});
    };
}

void GatewayDaemon::noteEnginePrefill(std::uint64_t upstream, const EngineQueue::Prefill &prefill)
{
    const auto engine = m_fleet.findByHash(upstream);
    const auto slots = engine ? engine->report().slots : 0;
    if (slots > 0 && prefill.inFlight <= slots)
        m_speeds.addSample({upstream, prefill.key.incarnation, prefill.tokens, prefill.time});
}

void GatewayDaemon::connectRetrySlack()
{
    auto &slack = m_gateway.retrySlack();
    m_journal.onAnnounced = [this, &slack](Core::Clock::Monotonic writtenAfter) {
        slack.noteAnnounced(writtenAfter, m_settings.retries.window, m_interfaces.clock.now());
    };
    m_journal.onFirstRecord = [this, &slack] {
        slack.noteFirst(m_settings.retries.window, m_interfaces.clock.now());
    };
    m_journal.onRead = [this, &slack](Core::Clock::Monotonic asOf) {
        slack.noteJournalRead(asOf, static_cast<unsigned>(m_members.count()),
                              m_settings.retries.window, m_interfaces.clock.now());
    };
}

void GatewayDaemon::addGauges()
{
    using Samples = std::vector<Metrics::Gauge::Sample>;
    auto &metrics = m_gateway.metrics();
    metrics.addGauge("jujube_gateway_knowledge_age_seconds",
                     "Age of the data read from the store, by log.", "log", [this] {
                         Samples samples;
                         for (const auto topic :
                              {FleetTopic::Operator, FleetTopic::Upstreams, FleetTopic::Journal}) {
                             const auto requestTime = m_relay.tail(topic).asOf();
                             if (requestTime == Core::Clock::Monotonic::min())
                                 continue;
                             const std::chrono::duration<double> age =
                                 m_interfaces.clock.now() - requestTime;
                             samples.push_back({std::string(nameOf(topic)), age.count()});
                         }
                         return samples;
                     });
    metrics.addGauge("jujube_gateway_store_era",
                     "Era of the store, which rises when it is restored from an older copy.", "",
                     [this] {
                         return Samples {{"", static_cast<double>(m_log.era())}};
                     });
    metrics.addGauge("jujube_gateway_configuration_version",
                     "Version of the configuration in force.", "", [this] {
                         const auto &current = m_configuration.current();
                         return Samples {{"", current ? static_cast<double>(current->version) : 0}};
                     });
    metrics.addGauge("jujube_gateway_members", "Number of instances, including this one, by state.",
                     "state", [this] {
                         const auto &siblings = m_members.siblings();
                         const auto reachable = std::count_if(
                             siblings.begin(), siblings.end(), [this](const auto &item) {
                                 return m_members.isReachable(item.second);
                             });
                         return Samples {{"known", static_cast<double>(m_members.count())},
                                         {"reachable", static_cast<double>(reachable + 1)}};
                     });
    metrics.addGauge("jujube_gateway_duties", "1 for each duty that this instance currently has.",
                     "duty", [this] {
                         const auto now = m_interfaces.clock.now();
                         const bool givesOrders = m_journal.lease().token(now, {}).has_value();
                         return Samples {{"orders", givesOrders ? 1.0 : 0.0},
                                         {"log_reader", m_log.isReader() ? 1.0 : 0.0},
                                         {"hub", m_members.isHub() ? 1.0 : 0.0}};
                     });
    metrics.addGauge("jujube_gateway_body_bytes",
                     "Memory for bodies: held in all and by purpose, and the limit.", "kind",
                     [this] {
                         const auto held = [this](Http::BodyPurpose purpose) {
                             return static_cast<double>(m_bodyBudget->heldBytes(purpose));
                         };
                         return Samples {{"held", static_cast<double>(m_bodyBudget->heldBytes())},
                                         {"limit", static_cast<double>(bodyLimit(m_settings))},
                                         {"requests", held(Http::BodyPurpose::Requests)},
                                         {"answers", held(Http::BodyPurpose::Answers)},
                                         {"streams", held(Http::BodyPurpose::Streams)},
                                         {"waiting", held(Http::BodyPurpose::Waiting)}};
                     });
    metrics.addGauge("jujube_gateway_body_refusals",
                     "How often a body found no room in the memory for bodies.", "", [this] {
                         return Samples {{"", static_cast<double>(m_bodyBudget->refusals())}};
                     });
    metrics.addGauge("jujube_gateway_service_room",
                     "Slots of the upstreams of a plain service that are free, of all instances; "
                     "negative while requests wait for one.",
                     "service", [this] {
                         Samples samples;
                         for (const auto &[service, use] : useOfPlainServices(m_gateway))
                             samples.push_back({service, use.slots - use.inFlight});
                         return samples;
                     });
    metrics.addGauge("jujube_gateway_service_slots", "Slots of the upstreams of a plain service.",
                     "service", [this] {
                         Samples samples;
                         for (const auto &[service, use] : useOfPlainServices(m_gateway))
                             samples.push_back({service, use.slots});
                         return samples;
                     });
    metrics.addGauge("jujube_gateway_poison_parts",
                     "Requests and parts of prompts that are known to crash upstreams.", "",
                     [this] {
                         const auto causes = m_gateway.poison().causes(m_interfaces.clock.now());
                         return Samples {{"", static_cast<double>(causes.size())}};
                     });
    metrics.addGauge("jujube_gateway_team_tokens",
                     "Prompt tokens a second by service and team: asked, admitted, and the share.",
                     "team", [this] { return teamSamples(m_gateway); });
}

void GatewayDaemon::addLimitGauge()
{
    m_gateway.metrics().addGauge(
        "jujube_gateway_upstream_limit",
        "Requests a second that an upstream takes from all instances, if it names a limit.",
        "upstream", [this] {
            std::vector<Metrics::Gauge::Sample> samples;
            for (const auto &[id, upstream] : m_fleet.all()) {
                if (const auto limit = upstream->notices()->requestsPerSecond)
                    samples.push_back({id.value(), *limit});
            }
            return samples;
        });
}

void GatewayDaemon::addSpeedGauges()
{
    using Samples = std::vector<Metrics::Gauge::Sample>;
    auto &metrics = m_gateway.metrics();
    metrics.addGauge("jujube_gateway_upstream_speed",
                     "Measured speed of an engine, 1 being that of its service's median engine.",
                     "upstream", [this] {
                         Samples samples;
                         for (const auto &[service, isUneven] : m_speeds.services()) {
                             for (const auto &engine : m_fleet.members(service))
                                 samples.push_back({engine->report().id.value(),
                                                    m_speeds.relativeSpeed(*engine)});
                         }
                         return samples;
                     });
    metrics.addGauge("jujube_gateway_uneven_services",
                     "1 for each service whose engines are placed by their own speeds.", "service",
                     [this] {
                         Samples samples;
                         for (const auto &[service, isUneven] : m_speeds.services())
                             samples.push_back({service, isUneven ? 1.0 : 0.0});
                         return samples;
                     });
}

asio::awaitable<void> GatewayDaemon::countInstances()
{
    for (;;) {
        const auto count = static_cast<unsigned>(m_members.count());
        m_gateway.retrySlack().noteInstances(count);
        if (m_journal.hasRead() && m_gateway.instanceCount() != count) {
            m_gateway.setInstanceCount(count);
            applyQuotas();
        }
        co_await sleepFor(m_gateway.instanceCount() ? CountInterval : InitialCountInterval);
    }
}

void GatewayDaemon::applySettings(const GatewaySettings &settings)
{
    auto updated = settings;
    updated.instance = m_settings.instance;
    updated.dataCentre = m_settings.dataCentre;
    updated.callers = m_settings.callers;
    updated.readiness = m_settings.readiness;
    updated.siblings = m_settings.siblings;
    m_settings = std::move(updated);
    m_bodyBudget->setLimit(bodyLimit(m_settings));
    Core::logEvent(Core::EventId::SettingsReloaded,
                   {{"revocation_ms", std::to_string(m_settings.revocationBound.count())}});
}

asio::awaitable<void> GatewayDaemon::watchSettings()
{
    // The settings file may change without a signal.
    for (;;) {
        co_await sleepFor(SettingsPollInterval);
        if (const auto settings = reload ? reload(false) : std::nullopt)
            applySettings(*settings);
    }
}

void GatewayDaemon::applyConfiguration()
{
    const auto &limits = m_configuration.current()->limits;
    Http::ServerLimits server;
    server.headerBytes = limits.headerBytes;
    server.bodyBytes = limits.bodyBytes;
    server.requestTime = limits.headerTime;
    server.idleTime = limits.idleTime;
    server.bodyBudget = m_bodyBudget;
    m_callers->setLimits(server);
    std::vector<KvCacheStores::StoreConfiguration> stores;
    for (const auto &[name, service] : m_configuration.current()->services) {
        if (service.kvCacheStore)
            stores.push_back({*service.kvCacheStore, service.kvCacheStoreTokens,
                              service.kvCacheStoreDataCentre, service.kvCacheStoreLinkMegabits});
    }
    m_gateway.stores().configure(stores);
    applyQuotas();
    m_gateway.teamRoom().setWeights(teamWeights(*m_configuration.current()));
}

void GatewayDaemon::applyQuotas()
{
    if (!m_configuration.current())
        return;
    std::map<std::string, QuotaLimit> limits;
    for (const auto &tenant : m_configuration.current()->tenants) {
        if (tenant.unitsPerSecond > 0)
            limits[tenant.name] = {tenant.unitsPerSecond, tenant.unitBurst};
    }
    m_quotas.configure(limits, m_gateway.instanceCount().value_or(0));
}

asio::awaitable<void> GatewayDaemon::answerOperator(Http::ServerExchange &exchange)
{
    const auto &target = exchange.request().target;
    if (target == "/metrics") {
        Http::Headers headers;
        headers.add("Content-Type", "text/plain; version=0.0.4");
        Http::Response response(200, std::move(headers), m_gateway.metrics().render());
        co_await exchange.respond(std::move(response));
        co_return;
    }
    const bool isReady = m_gateway.isReady();
    if (isReady != m_wasReady) {
        const auto age = m_configuration.age(m_interfaces.clock.now());
        Core::logEvent(
            Core::EventId::ReadinessChanged,
            {{"ready", isReady ? "true" : "false"},
             {"age_ms",
              std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(age).count())}});
    }
    m_wasReady = isReady;
    Http::Response response(isReady ? 200 : 503, {}, isReady ? "ready\n" : "not ready\n");
    co_await exchange.respond(std::move(response));
}

asio::awaitable<void> GatewayDaemon::drain()
{
    Core::logEvent(Core::EventId::DrainStarted);
    m_gateway.beginStop(m_settings.grace);
    m_callers->beginDrain();
    const auto &stop = m_gateway.plannedStop();
    // New connections may arrive until the balancer has noticed the drain.
    while (m_interfaces.clock.now() < stop.requestsEnd()) {
        co_await sleepFor(DrainPollInterval);
        if (!stop.isNoticed(m_interfaces.clock.now()))
            continue;
        m_callers->closeIdle();
        if (m_callers->activeExchanges() == 0)
            m_callers->stopAccepting();
        if (m_callers->hasEnded())
            co_return;
    }
    m_callers->stopAccepting();
    m_gateway.endRequests();
    while (m_callers->activeExchanges() > 0 && m_interfaces.clock.now() < stop.exit())
        co_await sleepFor(EndPollInterval);
}

} // namespace Gateway
