#include "AdmissionRun.h"

#include <algorithm>
#include <tuple>

namespace Bench {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds TickInterval {100};
constexpr milliseconds ReportLag {1};
constexpr std::chrono::seconds AccountInterval {10};
constexpr std::uint64_t Generation = 1;
const Core::UpstreamGroupId &groupName()
{
    static const Core::UpstreamGroupId name("engines");
    return name;
}

EventQueue::Duration toDuration(double seconds)
{
    return std::chrono::duration_cast<EventQueue::Duration>(std::chrono::duration<double>(seconds));
}

double toSeconds(EventQueue::Duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

double AdmissionSetup::capacityRate(std::size_t classIndex) const
{
    const auto &it = classes[classIndex];
    const double prompt = static_cast<double>(it.minPromptTokens + it.maxPromptTokens) / 2;
    double rate = 0;
    for (const auto &engine : engines) {
        const double prefill = prompt / engine.prefillTokensPerSecond;
        const double decode = static_cast<double>(it.meanOutputTokens)
                              * toSeconds(engine.tokenInterval) * (1 + engine.batchSlowdown);
        const double bySlots = static_cast<double>(engine.slots) / (prefill + decode);
        rate += std::min(1 / prefill, bySlots);
    }
    return rate;
}

std::uint32_t AdmissionSetup::slots() const
{
    std::size_t sum = 0;
    for (const auto &engine : engines)
        sum += engine.slots;
    return static_cast<std::uint32_t>(sum);
}

AdmissionRun::AdmissionRun(const AdmissionSetup &setup, AdmissionMode mode, std::uint64_t seed)
    : m_setup(setup)
    , m_mode(mode)
    , m_rng(seed)
    , m_wallStart(m_clock.wallNow())
    , m_outstanding(setup.engines.size(), 0)
    , m_runningByTeam(setup.ownedShares.size(), 0)
{ }

void AdmissionRun::run(bool withFloods)
{
    makeEngines();
    makeInstances();
    for (const auto &stream : m_setup.streams) {
        if (withFloods || !stream.isFlood)
            makeArrivals(stream);
    }
    for (std::size_t n = 0; n < m_outcomes.size(); ++n)
        m_queue.scheduleAt(m_outcomes[n].arrival, [this, n] { arrive(n); });
    tick();
    m_queue.runUntil(EventQueue::Time(m_setup.duration));
}

std::vector<double> AdmissionRun::slotSeconds(EventQueue::Duration from,
                                              EventQueue::Duration to) const
{
    std::vector<double> sums(m_setup.classes.size(), 0);
    for (const auto &use : m_slotUses) {
        const auto start = std::max(from, use.from.time_since_epoch());
        const auto end = std::min(to, use.to ? use.to->time_since_epoch() : m_setup.duration);
        if (start < end)
            sums[use.classIndex] += toSeconds(end - start);
    }
    return sums;
}

Accounting::UsageReport AdmissionRun::account()
{
    std::vector<Accounting::OwnedShare> shares;
    for (std::size_t n = 0; n < m_setup.ownedShares.size(); ++n) {
        const double millionths = m_setup.ownedShares[n] * Accounting::FullShare;
        shares.push_back({teamName(n), static_cast<std::uint64_t>(millionths)});
    }
    Accounting::UsageLedger ledger([shares](const auto &, auto) { return shares; },
                                   AccountInterval);
    for (std::size_t n = 0; n < m_instances.size(); ++n) {
        Accounting::UsageOutbox outbox(instanceName(n), 1);
        outbox.add(m_instances[n].meter->closeInterval(Generation));
        const auto batch = *outbox.nextBatch();
        // Applies the batch twice, as happens when a lost answer leads to a second append.
        ledger.apply(batch).value();
        ledger.apply(batch).value();
    }
    return ledger.report(m_wallStart, m_clock.wallNow() + AccountInterval);
}

Admission::Policy AdmissionRun::policy() const
{
    Admission::GroupPolicy group {.id = groupName(), .slots = m_setup.slots()};
    for (const auto &it : m_setup.classes) {
        group.classes.push_back({.id = Core::PriorityClassId(it.name),
                                 .floorShare = it.floorShare,
                                 .queueLimit = it.queueLimit,
                                 .preemptible = it.preemptible});
    }
    for (std::size_t n = 0; n < m_setup.ownedShares.size(); ++n) {
        const auto share = m_setup.ownedShares[n];
        group.teams.push_back({.id = teamName(n), .weight = share, .ownedShare = share});
    }
    return {.groups = {group}};
}

void AdmissionRun::makeEngines()
{
    EngineHooks hooks {.firstToken = [this](auto id, auto) { onFirstToken(id); },
                       .finished = [this](auto id) { onFinished(id); }};
    for (const auto &settings : m_setup.engines)
        m_engines.push_back(std::make_unique<FakeEngine>(m_queue, settings, hooks));
}

void AdmissionRun::makeInstances()
{
    std::vector<Core::InstanceId> names;
    for (std::size_t n = 0; n < m_setup.instances; ++n)
        names.push_back(instanceName(n));
    for (std::size_t n = 0; n < m_setup.instances; ++n) {
        Instance instance;
        Admission::PreemptionHook hook;
        if (m_mode != AdmissionMode::NoPreemption)
            hook = [this, n](Admission::TicketId ticket) { preempt(n, ticket); };
        instance.controller =
            Admission::Controller::create(m_clock, {names[n], 1}, policy(), hook).value();
        instance.controller->setSiblings(names);
        instance.meter = std::make_unique<Accounting::UsageMeter>(m_clock);
        m_instances.push_back(std::move(instance));
    }
}

void AdmissionRun::makeArrivals(const StreamLoad &stream)
{
    const auto &load = m_setup.classes[stream.classIndex];
    const double rate = stream.load * m_setup.capacityRate(stream.classIndex);
    std::exponential_distribution<double> gap(rate);
    std::uniform_int_distribution<std::uint64_t> prompt(load.minPromptTokens, load.maxPromptTokens);
    std::uniform_int_distribution<std::uint64_t> output(1, 2 * load.meanOutputTokens - 1);
    auto time = stream.from + toDuration(gap(m_rng));
    while (time < stream.to) {
        AdmissionOutcome request;
        request.team = stream.team;
        request.classIndex = stream.classIndex;
        request.instance = stream.instance.value_or(m_rng() % m_setup.instances);
        request.promptTokens = prompt(m_rng);
        request.outputTokens = output(m_rng);
        request.arrival = EventQueue::Time(time);
        m_outcomes.push_back(request);
        time += toDuration(gap(m_rng));
    }
}

void AdmissionRun::arrive(std::size_t request)
{
    if (m_mode == AdmissionMode::Direct)
        send(request, {.enginePriority = 2 * static_cast<int>(m_outcomes[request].classIndex)});
    else
        submit(request, false);
}

void AdmissionRun::submit(std::size_t request, bool isResumed)
{
    const auto &it = m_outcomes[request];
    const auto &load = m_setup.classes[it.classIndex];
    Admission::Ticket ticket {.group = groupName(),
                              .team = teamName(it.team),
                              .priorityClass = Core::PriorityClassId(load.name),
                              .expectedTokens = it.promptTokens + it.outputTokens,
                              .preemptible = load.preemptible,
                              .resumed = isResumed};
    const double prefill =
        static_cast<double>(it.promptTokens) / m_setup.engines.front().prefillTokensPerSecond;
    ticket.expectedFirstToken =
        std::chrono::duration_cast<std::chrono::microseconds>(toDuration(prefill));
    if (load.target.count() > 0)
        ticket.deadline = it.arrival + load.target;
    m_instances[it.instance].controller->submit(std::move(ticket), [this, request](auto result) {
        if (result)
            send(request, result.value());
        else
            m_outcomes[request].isRefused = true;
    });
}

std::size_t AdmissionRun::chooseEngine(int priority) const
{
    // Inspecting the unbounded queues of direct runs would take most of their time.
    const bool looksAtPrefill = m_mode != AdmissionMode::Direct;
    std::size_t best = 0;
    std::tuple<bool, std::uint64_t, std::size_t> bestCost;
    for (std::size_t n = 0; n < m_engines.size(); ++n) {
        const bool isFull = m_outstanding[n] >= m_engines[n]->settings().slots;
        const auto prefill = looksAtPrefill ? m_engines[n]->prefillTokensBefore(priority) : 0;
        const std::tuple cost(isFull, prefill, m_outstanding[n]);
        if (n == 0 || cost < bestCost) {
            best = n;
            bestCost = cost;
        }
    }
    return best;
}

void AdmissionRun::send(std::size_t request, const Admission::Grant &grant)
{
    const auto engine = chooseEngine(grant.enginePriority);
    const auto &it = m_outcomes[request];
    const auto id = ++m_lastAttempt;
    m_attempts[id] = {request, engine, grant.id};
    m_attemptOfTicket[{it.instance, grant.id}] = id;
    m_slotUseOfAttempt[id] = m_slotUses.size();
    m_slotUses.push_back({it.classIndex, m_queue.now(), std::nullopt});
    ++m_outstanding[engine];
    ++m_runningByTeam[it.team];
    m_instances[it.instance].meter->noteStarted(groupName(), teamName(it.team));
    m_engines[engine]->submit({.id = id,
                               .blocks = {},
                               .tailTokens = it.promptTokens,
                               .outputTokens = it.outputTokens,
                               .priority = grant.enginePriority});
}

void AdmissionRun::preempt(std::size_t instance, Admission::TicketId ticket)
{
    const auto found = m_attemptOfTicket.find({instance, ticket});
    if (found == m_attemptOfTicket.end())
        return;
    const auto id = found->second;
    const auto request = m_attempts.at(id).request;
    // A request runs to its end once its caller has received a token.
    if (m_outcomes[request].firstToken)
        return;
    m_engines[m_attempts.at(id).engine]->cancel(id);
    endAttempt(id);
    ++m_outcomes[request].preemptions;
    m_instances[instance].meter->noteFinished(groupName(), teamName(m_outcomes[request].team), {});
    m_instances[instance].controller->release(ticket, 0);
    submit(request, true);
}

void AdmissionRun::onFirstToken(std::uint64_t id)
{
    const auto &attempt = m_attempts.at(id);
    auto &it = m_outcomes[attempt.request];
    it.firstToken = m_queue.now();
    if (m_mode != AdmissionMode::Direct)
        m_instances[it.instance].controller->noteFirstToken(attempt.ticket);
}

void AdmissionRun::onFinished(std::uint64_t id)
{
    const auto attempt = endAttempt(id);
    auto &it = m_outcomes[attempt.request];
    it.finished = m_queue.now();
    auto &instance = m_instances[it.instance];
    instance.meter->noteFinished(groupName(), teamName(it.team),
                                 {.computed = it.promptTokens, .generated = it.outputTokens});
    if (m_mode != AdmissionMode::Direct)
        instance.controller->release(attempt.ticket, it.promptTokens + it.outputTokens);
}

AdmissionRun::Attempt AdmissionRun::endAttempt(std::uint64_t id)
{
    const auto attempt = m_attempts.at(id);
    const auto &it = m_outcomes[attempt.request];
    m_attempts.erase(id);
    m_attemptOfTicket.erase({it.instance, attempt.ticket});
    m_slotUses[m_slotUseOfAttempt.at(id)].to = m_queue.now();
    m_slotUseOfAttempt.erase(id);
    --m_outstanding[attempt.engine];
    --m_runningByTeam[it.team];
    return attempt;
}

void AdmissionRun::tick()
{
    std::uint32_t sum = 0;
    for (auto &instance : m_instances) {
        instance.controller->tick();
        const auto share = instance.controller->status(groupName()).share;
        instance.meter->noteShare(groupName(), share);
        sum += share;
    }
    m_largestShareSum = std::max(m_largestShareSum, sum);
    m_teamSlots.push_back(m_runningByTeam);
    if (m_mode != AdmissionMode::SafeShares)
        exchangeReports();
    m_queue.schedule(TickInterval, [this] { tick(); });
}

void AdmissionRun::exchangeReports()
{
    for (std::size_t from = 0; from < m_instances.size(); ++from) {
        for (std::size_t to = 0; to < m_instances.size(); ++to) {
            if (from == to)
                continue;
            auto report = m_instances[from].controller->report(instanceName(to));
            m_queue.schedule(ReportLag, [this, to, report = std::move(report)] {
                m_instances[to].controller->applySiblingReport(report);
            });
        }
    }
}

Core::InstanceId AdmissionRun::instanceName(std::size_t instance)
{
    return Core::InstanceId("instance-" + std::to_string(instance));
}

Core::TeamId AdmissionRun::teamName(std::size_t team)
{
    return Core::TeamId("team-" + std::to_string(team));
}

} // namespace Bench
