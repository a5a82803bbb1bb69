#include "PlacementRun.h"

#include <LibCore/Error.h>

namespace Bench {

namespace {

/// Delay before an instance retries when it finds no upstream.
constexpr std::chrono::milliseconds RetryDelay {200};

} // namespace

PlacementRun::PlacementRun(const Deployment &deployment, const std::vector<Fault> &faults,
                           const std::vector<WorkItem> &work, std::uint64_t seed)
    : m_deployment(deployment)
    , m_faults(faults)
    , m_work(work)
    , m_seed(seed)
    , m_rng(seed)
    , m_refused(deployment.instances)
{ }

RunStatistics PlacementRun::run(const std::string &policyName,
                                const std::vector<std::string> &overrides)
{
    makeEngines();
    m_policy =
        makePolicy(policyName, {&m_queue, &m_engines, m_deployment.instances, m_seed, overrides});
    if (!m_policy)
        throw Core::Error(Core::ErrorKind::SettingsInvalid, "unknown policy " + policyName);
    for (const auto &fault : m_faults)
        scheduleFault(fault);
    for (std::size_t i = 0; i < m_engines.size(); ++i)
        reportLoad(i);
    const auto interval = m_deployment.views.exchangeInterval;
    for (std::size_t i = 0; i < m_deployment.instances && interval.count() > 0; ++i)
        m_queue.schedule(interval * (i + 1) / m_deployment.instances, [this, i] { exchange(i); });
    for (const auto &item : m_work) {
        RequestOutcome outcome;
        outcome.arrival = item.arrival;
        outcome.isUrgent = item.isUrgent;
        m_statistics.outcomes.push_back(outcome);
        m_queue.schedule(item.arrival, [this, &item] {
            place(item.balancerDraw % m_deployment.instances, item);
        });
    }
    // Responses still missing after this time count as unanswered.
    constexpr std::chrono::seconds DrainTime {60};
    m_queue.runUntil(EventQueue::Time(m_deployment.work.duration + DrainTime));
    return std::move(m_statistics);
}

void PlacementRun::makeEngines()
{
    for (std::size_t i = 0; i < m_deployment.engines.size(); ++i) {
        EngineHooks hooks;
        hooks.firstToken = [this, i](auto id, auto cached) { onFirstToken(i, id, cached); };
        hooks.finished = [this](auto id) { onFinished(id); };
        hooks.failed = [this](auto id) { onFailed(id); };
        m_engines.push_back(
            std::make_unique<FakeEngine>(m_queue, m_deployment.engines[i], std::move(hooks)));
        m_engines.back()->cache().setChangeHook(
            [this, i](auto change, auto block) { reportCacheChange(i, change, block); });
    }
}

void PlacementRun::scheduleFault(const Fault &fault)
{
    m_queue.schedule(fault.at, [this, fault] {
        switch (fault.kind) {
        case FaultKind::EngineCrash:
            for (std::size_t i = 0; i < fault.count && i < m_engines.size(); ++i)
                m_engines[i]->crash(fault.duration);
            break;
        case FaultKind::InstanceRestart:
            restartInstances(fault.count);
            break;
        case FaultKind::DataCentreCut:
            for (std::size_t i = 0; i < fault.count; ++i)
                m_cutDataCentres.insert(i);
            m_queue.schedule(fault.duration, [this] { m_cutDataCentres.clear(); });
            break;
        case FaultKind::SlowEngine:
            for (std::size_t i = 0; i < fault.count && i < m_engines.size(); ++i) {
                m_engines[i]->setSpeed(fault.speed);
                m_queue.schedule(fault.duration, [this, i] { m_engines[i]->setSpeed(1); });
            }
            break;
        }
    });
}

void PlacementRun::restartInstances(std::size_t count)
{
    for (std::size_t i = 0; i < count && i < m_deployment.instances; ++i) {
        m_refused[i].clear();
        std::optional<std::size_t> sibling;
        if (count < m_deployment.instances)
            sibling = count;
        m_policy->restarted(i, sibling);
    }
}

void PlacementRun::place(std::size_t instance, const WorkItem &item)
{
    while (true) {
        const auto available = candidates(instance);
        if (available.empty()) {
            m_queue.schedule(RetryDelay, [this, instance, &item] { place(instance, item); });
            return;
        }
        const auto engine = m_policy->choose(instance, item, available);
        EngineRequest request {item.id, item.blocks, item.tailTokens, item.outputTokens,
                               item.isUrgent ? 0 : 1};
        // Records the attempt before the engine can call back.
        m_attempts[item.id] = {instance, engine};
        m_policy->sent(instance, item, engine);
        if (m_engines[engine]->submit(std::move(request)))
            return;
        m_attempts.erase(item.id);
        m_refused[instance].insert(engine);
        m_policy->failed(instance, item, engine);
    }
}

std::vector<std::size_t> PlacementRun::candidates(std::size_t instance) const
{
    std::vector<std::size_t> available;
    for (std::size_t i = 0; i < m_engines.size(); ++i) {
        if (isReachable(instance, i) && !m_refused[instance].contains(i))
            available.push_back(i);
    }
    return available;
}

bool PlacementRun::isReachable(std::size_t instance, std::size_t engine) const
{
    const auto from = instance % m_deployment.dataCentres;
    const auto to = m_engines[engine]->settings().dataCentre;
    return from == to || (!m_cutDataCentres.contains(from) && !m_cutDataCentres.contains(to));
}

void PlacementRun::reportLoad(std::size_t engine)
{
    if (m_engines[engine]->isUp()) {
        m_queue.schedule(m_deployment.views.loadReportLag,
                         [this, engine, load = m_engines[engine]->load()] {
                             for (std::size_t i = 0; i < m_deployment.instances; ++i) {
                                 if (!isReachable(i, engine))
                                     continue;
                                 m_refused[i].erase(engine);
                                 m_policy->loadReport(i, engine, load);
                             }
                         });
    }
    m_queue.schedule(m_deployment.views.loadReportInterval, [this, engine] { reportLoad(engine); });
}

void PlacementRun::exchange(std::size_t instance)
{
    const auto interval = m_deployment.views.exchangeInterval;
    const auto isCut = [this](std::size_t i) {
        return m_cutDataCentres.contains(i % m_deployment.dataCentres);
    };
    std::vector<std::size_t> siblings;
    for (std::size_t i = 0; i < m_deployment.instances; ++i) {
        if (i != instance && isCut(i) == isCut(instance))
            siblings.push_back(i);
    }
    m_policy->exchange(instance, siblings, interval);
    m_queue.schedule(interval, [this, instance] { exchange(instance); });
}

void PlacementRun::reportCacheChange(std::size_t engine, CacheChange change, std::uint64_t block)
{
    constexpr std::uint64_t Scale = 1'000'000;
    const auto lossLimit = m_deployment.views.cacheEventLoss * static_cast<double>(Scale);
    if (static_cast<double>(m_rng() % Scale) < lossLimit)
        return;
    m_queue.schedule(m_deployment.views.cacheEventLag,
                     [this, engine, change, block, incarnation = m_engines[engine]->incarnation()] {
                         for (std::size_t i = 0; i < m_deployment.instances; ++i) {
                             if (isReachable(i, engine))
                                 m_policy->cacheEvent(i, engine, incarnation, change, block,
                                                      m_deployment.views.cacheEventLag);
                         }
                     });
}

void PlacementRun::onFirstToken(std::size_t engine, std::uint64_t id, std::uint64_t cachedTokens)
{
    auto &outcome = m_statistics.outcomes[id - 1];
    outcome.promptTokens += item(id).blocks.size() * BlockTokens + item(id).tailTokens;
    outcome.cachedTokens += cachedTokens;
    if (!outcome.isAnswered) {
        outcome.isAnswered = true;
        outcome.firstToken = m_queue.now().time_since_epoch();
    }
    m_policy->firstToken(m_attempts[id].instance, item(id), engine, cachedTokens);
}

void PlacementRun::onFinished(std::uint64_t id)
{
    const auto attempt = m_attempts[id];
    m_attempts.erase(id);
    m_policy->finished(attempt.instance, item(id), attempt.engine);
}

void PlacementRun::onFailed(std::uint64_t id)
{
    const auto attempt = m_attempts[id];
    m_attempts.erase(id);
    m_refused[attempt.instance].insert(attempt.engine);
    m_policy->failed(attempt.instance, item(id), attempt.engine);
    ++m_statistics.outcomes[id - 1].attempts;
    place(attempt.instance, item(id));
}

} // namespace Bench
