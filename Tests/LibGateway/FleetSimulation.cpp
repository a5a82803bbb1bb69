#include "FleetSimulation.h"

#include <LibCore/Hash.h>

#include <cmath>

using namespace std::chrono_literals;

namespace GatewayTests {

namespace {

constexpr unsigned LargeFactor = 3;
constexpr auto OutputTime = 200ms;

std::string engineName(unsigned engine)
{
    return "w" + std::to_string(engine);
}

std::chrono::nanoseconds nanoseconds(Milliseconds time)
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(time);
}

} // namespace

FleetSimulation::FleetSimulation(FleetShape shape, std::vector<PromptKind> kinds)
    : m_shape(shape)
    , m_kinds(std::move(kinds))
    , m_random(shape.seed)
{
    m_clock.advance(1h);
    m_end = m_clock.now() + m_shape.length;
    m_engines.resize(m_shape.engines);
    for (auto &engine : m_engines)
        engine.cache.setCapacity(m_shape.cacheTokens);
    for (unsigned n = 0; n < m_shape.instances; ++n) {
        auto &instance = *m_instances.emplace_back(std::make_unique<Instance>());
        instance.random.seed(static_cast<unsigned>(m_shape.seed * m_shape.instances + n + 1));
        for (unsigned engine = 0; engine < m_shape.engines; ++engine) {
            Gateway::UpstreamReport report;
            report.id = Core::UpstreamId(engineName(engine));
            report.service = "llm";
            report.slots = 64;
            report.weights["m"] = 1;
            instance.fleet.apply(report);
            upstream(n, engine)->prefixCache().setCapacity(m_shape.cacheTokens);
        }
    }
}

std::shared_ptr<Gateway::Upstream> FleetSimulation::upstream(unsigned instance, unsigned engine)
{
    return m_instances[instance]->fleet.find(Core::UpstreamId(engineName(engine)));
}

void FleetSimulation::at(Core::Clock::Monotonic time, std::function<void()> action)
{
    m_events.emplace(time, m_nextEvent);
    m_actions[m_nextEvent++] = {time, std::move(action)};
}

void FleetSimulation::run()
{
    for (const auto &kind : m_kinds)
        scheduleArrival(kind);
    exchangeLoads();
    while (!m_events.empty()) {
        const auto [time, number] = m_events.top();
        m_events.pop();
        m_clock.advance(time - m_clock.now());
        auto action = std::move(m_actions.extract(number).mapped().second);
        action();
    }
}

void FleetSimulation::scheduleArrival(const PromptKind &kind)
{
    const double factor = loadFactor ? loadFactor(m_clock.now()) : 1;
    std::exponential_distribution<double> gap(kind.perSecond * factor / 1'000);
    const auto time = m_clock.now() + nanoseconds(Milliseconds(gap(m_random)));
    if (time >= m_end)
        return;
    at(time, [this, &kind] {
        arrive(newPrompt(kind));
        scheduleArrival(kind);
    });
}

FleetSimulation::PromptPointer FleetSimulation::newPrompt(const PromptKind &kind)
{
    auto prompt = std::make_shared<Prompt>();
    prompt->kind = &kind;
    const double sigma = std::sqrt(std::log(1 + kind.spread * kind.spread));
    std::lognormal_distribution<double> size(std::log(kind.ownTokens) - sigma * sigma / 2, sigma);
    const auto own = static_cast<unsigned>(
        std::clamp(size(m_random), 1.0, double(kind.maxTokens - kind.sharedTokens)));
    const auto session = m_random() % kind.sessions;
    const auto shared = Core::hash64(kind.name, session);
    if (kind.sharedTokens > 0)
        prompt->parts.push_back({shared, kind.sharedTokens});
    prompt->parts.push_back({m_random(), own});
    prompt->tokens = kind.sharedTokens + own;
    const auto team = m_random() % m_shape.teams;
    prompt->instance = static_cast<unsigned>(m_random() % m_shape.instances);
    prompt->firstArrival = m_clock.now();
    prompt->groups = {"all", "team " + std::to_string(team),
                      "centre " + std::to_string(prompt->instance % m_shape.dataCentres)};
    if (own > LargeFactor * kind.ownTokens)
        prompt->groups.emplace_back("large");
    count(*prompt, &CallerTally::asked);
    return prompt;
}

std::optional<Gateway::EngineChoice> FleetSimulation::choose(const Prompt &prompt)
{
    auto &instance = *m_instances[prompt.instance];
    const auto &kind = *prompt.kind;
    Gateway::EngineDemand demand;
    demand.parts = prompt.parts;
    demand.promptTokens = prompt.tokens;
    demand.sharedTokens = kind.sharedTokens;
    demand.affinityKey = prompt.parts.front().prefixHash;
    demand.model = "m";
    demand.isUrgent = kind.isUrgent;
    demand.slots = 64;
    Gateway::ChoiceLimits limits;
    limits.maxInFlight = 64;
    limits.now = m_clock.now();
    limits.instances = m_shape.instances;
    limits.random = m_shape.variesChoice ? &instance.random : nullptr;
    return chooseEngine(instance.fleet.members("llm"), instance.model, demand, limits);
}

bool FleetSimulation::learnLoad(unsigned instance, Gateway::Upstream &engine)
{
    const auto id = engine.report().id;
    Gateway::SiblingLoad others;
    for (unsigned n = 0; n < m_shape.instances; ++n) {
        if (n == instance)
            continue;
        const auto other = m_instances[n]->fleet.find(id);
        others.waitingTokens += other->waitingTokens();
        others.inFlight += other->inFlight();
    }
    constexpr std::uint64_t MaxUnknownTokens = 500;
    const auto known = engine.tokensAhead(false);
    auto actual = others.waitingTokens;
    actual += engine.waitingTokens();
    const bool isLonger = actual.all > known + MaxUnknownTokens;
    if (m_shape.keepsQueues)
        engine.setKeptLoad(others, m_clock.now());
    return isLonger;
}

void FleetSimulation::arrive(const PromptPointer &prompt)
{
    auto &instance = *m_instances[prompt->instance];
    const auto &kind = *prompt->kind;
    const auto now = m_clock.now();
    auto choice = choose(*prompt);
    bool isLonger = learnLoad(prompt->instance, *choice->upstream);
    constexpr int MaxQueries = 3;
    for (int n = 0; m_shape.keepsQueues && isLonger && n < MaxQueries; ++n) {
        const auto before = choice->upstream;
        choice = choose(*prompt);
        isLonger = choice->upstream != before && learnLoad(prompt->instance, *choice->upstream);
    }
    m_collisions += isLonger ? 1 : 0;
    Gateway::PromptOutlook outlook;
    outlook.wait = choice->expectedWait;
    outlook.ownTime = choice->expectedFirstToken - choice->expectedWait;
    outlook.remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
        prompt->firstArrival + kind.callerTime - now);
    outlook.target = kind.target;
    outlook.isUrgent = kind.isUrgent;
    outlook.isReturning = instance.returning[&kind].noteArrival(outlook.remaining);
    if (const auto refusal = refusePrompt(outlook))
        refuse(prompt, *refusal);
    else
        send(prompt, *choice);
}

void FleetSimulation::refuse(const PromptPointer &prompt, const Gateway::PromptRefusal &refusal)
{
    const auto now = m_clock.now();
    const auto left = prompt->firstArrival + prompt->kind->callerTime - now;
    if (prompt->isReturning || !refusal.retryAfter) {
        count(*prompt, &CallerTally::refusedTwice);
        return;
    }
    prompt->isReturning = true;
    prompt->instance = static_cast<unsigned>(m_random() % m_shape.instances);
    at(now + std::min<std::chrono::nanoseconds>(*refusal.retryAfter, left / 3),
       [this, prompt] { arrive(prompt); });
}

void FleetSimulation::send(const PromptPointer &prompt, const Gateway::EngineChoice &choice)
{
    for (unsigned n = 0; n < m_shape.engines; ++n) {
        if (upstream(prompt->instance, n) == choice.upstream)
            prompt->engine = n;
    }
    prompt->believedTokens = prompt->tokens - choice.readyTokens;
    prompt->expectedWait = choice.expectedWait;
    prompt->sent = m_clock.now();
    choice.upstream->noteSent(prompt->believedTokens, prompt->kind->isUrgent);
    auto &engine = m_engines[prompt->engine];
    (prompt->kind->isUrgent ? engine.urgent : engine.ordinary).push_back(prompt);
    if (!engine.current)
        startNext(prompt->engine);
}

void FleetSimulation::startNext(unsigned number)
{
    auto &engine = m_engines[number];
    auto &queue = engine.urgent.empty() ? engine.ordinary : engine.urgent;
    if (queue.empty())
        return;
    engine.current = queue.front();
    queue.pop_front();
    auto &prompt = *engine.current;
    prompt.started = m_clock.now();
    m_errorSum +=
        std::abs((Milliseconds(m_clock.now() - prompt.sent) - prompt.expectedWait).count());
    ++m_errorCount;
    const auto tokens = prompt.tokens - engine.cache.cachedTokens(prompt.parts);
    engine.cache.noteUse(prompt.parts);
    prompt.prefillTokens = tokens;
    const double rate = m_shape.tokensPerMillisecond * (engineSpeed ? engineSpeed(number) : 1);
    at(m_clock.now() + nanoseconds(Milliseconds(10 + tokens / rate)),
       [this, number] { finishPrefill(number); });
}

void FleetSimulation::finishPrefill(unsigned number)
{
    const auto prompt = std::exchange(m_engines[number].current, nullptr);
    const auto now = m_clock.now();
    m_engines[number].prefilledTokens += prompt->prefillTokens;
    if (m_shape.measuresSpeeds)
        m_speeds.addSample(
            {number, prompt->instance, prompt->believedTokens, Milliseconds(now - prompt->started)},
            now);
    const auto took = now - prompt->firstArrival;
    count(*prompt, took <= prompt->kind->target ? &CallerTally::inTime : &CallerTally::late);
    auto &instance = *m_instances[prompt->instance];
    const auto engine = upstream(prompt->instance, number);
    engine->noteFirstToken(prompt->believedTokens, prompt->kind->isUrgent);
    if (!prompt->kind->isUrgent)
        instance.model.addOrdinaryWait(prompt->expectedWait,
                                       Milliseconds(prompt->started - prompt->sent));
    instance.model.addSample(static_cast<unsigned>(prompt->believedTokens),
                             Milliseconds(now - prompt->sent));
    for (unsigned n = 0; n < m_shape.instances; ++n)
        upstream(n, number)->noteCached(prompt->parts);
    at(now + OutputTime, [engine] { engine->noteEnd(); });
    startNext(number);
}

void FleetSimulation::exchangeLoads()
{
    for (unsigned number = 0; number < m_shape.engines; ++number) {
        std::vector<Gateway::SiblingLoad> own;
        Gateway::SiblingLoad sum;
        for (unsigned n = 0; n < m_shape.instances; ++n) {
            const auto engine = upstream(n, number);
            own.push_back({engine->waitingTokens(), engine->inFlight(), 0});
            sum.waitingTokens += own.back().waitingTokens;
            sum.inFlight += own.back().inFlight;
        }
        at(m_clock.now() + m_shape.reportDelay, [this, number, own, sum] {
            for (unsigned n = 0; n < m_shape.instances; ++n) {
                auto others = sum;
                others.waitingTokens.all -= own[n].waitingTokens.all;
                others.waitingTokens.urgent -= own[n].waitingTokens.urgent;
                others.waitingTokens.ordinaryPrompts -= own[n].waitingTokens.ordinaryPrompts;
                others.inFlight -= own[n].inFlight;
                upstream(n, number)->setReportedLoad(others, m_clock.now());
            }
        });
    }
    if (m_shape.measuresSpeeds)
        exchangeSpeeds();
    if (m_clock.now() < m_end)
        at(m_clock.now() + m_shape.reportInterval, [this] { exchangeLoads(); });
}

void FleetSimulation::exchangeSpeeds()
{
    m_speeds.refresh(m_clock.now());
    const bool isUneven = m_speeds.isUneven();
    std::vector<double> speeds;
    for (unsigned number = 0; number < m_shape.engines; ++number)
        speeds.push_back(m_speeds.relativeSpeed(number));
    at(m_clock.now() + m_shape.reportDelay, [this, isUneven, speeds, rate = m_speeds.medianRate()] {
        for (unsigned n = 0; n < m_shape.instances; ++n) {
            m_instances[n]->model.setMedianRate(isUneven ? std::optional(rate) : std::nullopt);
            for (unsigned number = 0; number < m_shape.engines; ++number)
                upstream(n, number)->setSpeed(isUneven ? std::optional(speeds[number])
                                                       : std::nullopt);
        }
    });
}

void FleetSimulation::count(const Prompt &prompt, unsigned CallerTally::*field)
{
    for (const auto &group : prompt.groups)
        ++(m_tallies[prompt.kind->name + "/" + group].*field);
}

const CallerTally &FleetSimulation::tally(const std::string &kind, const std::string &group)
{
    return m_tallies[kind + "/" + group];
}

Milliseconds FleetSimulation::meanWaitError() const
{
    return Milliseconds(m_errorCount ? m_errorSum / m_errorCount : 0);
}

} // namespace GatewayTests
