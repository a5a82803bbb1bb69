#include "SoakRun.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <array>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <set>

namespace Soak {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

constexpr auto EndTimeout = 15s;
constexpr auto LagInterval = 20ms;
// A test that is late itself records arrivals late.
constexpr auto GreatLag = 200ms;
constexpr std::size_t MaxShownBreaks = 50;
// Of an upstream that starts again.
constexpr std::array<Time, 3> ClockErrors {0s, -60s, 60s};

const std::string &services(unsigned n)
{
    static const std::array<std::string, 2> names {"app", "llm"};
    return names.at(n % names.size());
}

UpstreamFaults makeFaults(unsigned form)
{
    constexpr double Often = 0.4;
    constexpr double Seldom = 0.05;
    UpstreamFaults faults;
    switch (form) {
    case 0:
        faults.losesAnswers = Often;
        break;
    case 1:
        faults.internalErrors = Often;
        break;
    case 2:
        faults.truncates = Often;
        break;
    case 3:
        faults.repeatsAnswers = Often;
        faults.rejects = Often;
        break;
    case 4:
        faults.resets = Often;
        break;
    case 5:
        faults.breaksStreams = Often;
        break;
    case 6:
        faults.breaksStreams = Often;
        faults.resumeErrors = Often;
        break;
    case 7:
        faults.repeatsAnswers = Often;
        break;
    case 8:
        faults.repeatsRejections = Often;
        break;
    case 9:
        faults.repeatsRejections = Often;
        faults.rejects = Often;
        faults.resets = Seldom;
        break;
    case 10:
        faults.namesTimes = Often;
        faults.rejects = Often;
        break;
    case 11:
        faults.isSlow = Often;
        break;
    case 12:
        faults.stalls = Seldom;
        break;
    default:
        faults.isEndless = Seldom;
    }
    return faults;
}

std::string text(const Break &found)
{
    return found.rule + " at " + std::to_string(found.at.count()) + " ms, request "
           + (found.request.empty() ? "-" : found.request) + ", " + found.instance + ": "
           + found.detail;
}

} // namespace

std::string SoakResult::summary() const
{
    std::map<std::string, unsigned> counts;
    for (const auto &found : breaks)
        ++counts[found.rule];
    std::string line = std::to_string(requests) + " requests, " + std::to_string(served)
                       + " served, " + std::to_string(arrivals) + " arrivals, "
                       + std::to_string(steps) + " troubles, "
                       + std::to_string(static_cast<int>(retryUse * 100))
                       + "% of the retry budget, " + std::to_string(greatestMemory / 1'000'000)
                       + " MB, lag " + std::to_string(greatestLag.count()) + " ms:";
    for (const auto &[rule, count] : counts)
        line += " " + rule + " " + std::to_string(count);
    return counts.empty() ? line + " no rule broken" : line;
}

SoakRun::SoakRun(const SoakOptions &options)
    : m_options(options)
    , m_shape(shapeOf(options.seed, {options.instances, options.clients, options.zones}))
    , m_steps(options.steps.empty() ? makeSchedule(options.seed, options.length, m_shape.instances)
                                    : options.steps)
    , m_world(m_store, options.seed)
    , m_upstreams(m_world)
    , m_gateways(m_world, options.folder, options.gateway)
    , m_clients(m_world, m_gateways)
{
    if (options.hasLimits)
        addLimits(m_steps, options.seed, options.length);
}

SoakResult SoakRun::run()
{
    std::filesystem::create_directories(m_options.folder);
    m_world.zones = m_shape.zones;
    configure();
    for (unsigned n = 0; n < m_options.upstreams; ++n)
        m_upstreams.add(services(n));
    for (unsigned n = 0; n < m_shape.instances; ++n)
        m_gateways.add();
    for (unsigned n = 0; n < m_shape.clients; ++n)
        m_clients.add();
    for (unsigned n = 0; n < m_shape.instances; ++n)
        m_clients.addIdle();
    asio::co_spawn(m_world.context, play(), asio::detached);
    asio::co_spawn(m_world.context, measureLag(), asio::detached);
    m_world.context.run_for(m_options.length);
    m_world.isStopping = true;
    const auto end = std::chrono::steady_clock::now() + EndTimeout;
    while (m_clients.active() > 0 && std::chrono::steady_clock::now() < end)
        m_world.context.run_for(LagInterval);
    m_upstreams.close();
    m_world.context.run_for(LagInterval);
    for (auto &[id, request] : m_world.history.requests) {
        // Its client was still waiting.
        if (request.endedAt != 0ms)
            continue;
        request.hasLeft = true;
        request.endedAt = m_world.now();
    }

    SoakResult result;
    Judge judge(m_world.history);
    result.breaks = judge.breaks();
    result.greatestMemory = m_gateways.greatestMemory();
    result.retryUse = judge.greatestRetryUse();
    result.requests = m_world.history.requests.size();
    for (const auto &[id, request] : m_world.history.requests) {
        result.served += request.isComplete && request.status == 200 ? 1 : 0;
        ++result.statuses[request.hasLeft ? "left" : std::to_string(request.status)];
    }
    for (const auto &[id, arrivals] : m_world.history.arrivals)
        result.arrivals += arrivals.size();
    result.steps = m_steps.size();
    result.greatestLag = m_greatestLag;
    writeReport(result);
    return result;
}

asio::awaitable<void> SoakRun::play()
{
    for (const auto &step : m_steps) {
        const auto left = step.at - m_world.now();
        if (left > 0ms)
            co_await pause(left);
        if (m_world.isStopping)
            co_return;
        apply(step);
    }
}

asio::awaitable<void> SoakRun::measureLag()
{
    while (!m_world.isStopping) {
        const auto from = m_world.now();
        co_await pause(LagInterval);
        const auto lag = m_world.now() - from - LagInterval;
        m_greatestLag = std::max(m_greatestLag, lag);
        if (lag < GreatLag)
            continue;
        Disturbance disturbance;
        disturbance.from = from;
        disturbance.to = m_world.now();
        disturbance.isOfTest = true;
        m_world.history.disturbances.push_back(disturbance);
    }
}

void SoakRun::apply(const Step &step)
{
    if (step.trouble <= Trouble::AddInstance)
        applyToGateways(step);
    else if (step.trouble <= Trouble::StoreFailsOnce)
        applyToStore(step);
    else if (step.trouble <= Trouble::OddEntry)
        applyToUpstreams(step);
    else if (!m_world.isStoreDown) {
        if (step.trouble == Trouble::ChangeRoutes)
            m_hasPassingRoute = !m_hasPassingRoute;
        else
            ++m_passingKeys;
        configure();
    }
}

void SoakRun::applyToGateways(const Step &step)
{
    switch (step.trouble) {
    case Trouble::Terminate:
        return m_gateways.terminate(step.target);
    case Trouble::Kill:
        return m_gateways.kill(step.target);
    case Trouble::Reload:
        return m_gateways.reload(step.target);
    case Trouble::Freeze:
        return m_gateways.freeze(step.target, step.time);
    case Trouble::SignalAtStart:
        return m_gateways.signalNextStart(step.target, step.form == 0 ? SIGHUP : SIGTERM,
                                          step.time);
    case Trouble::HoldPorts:
        return m_gateways.holdPorts(step.target, step.form, step.time);
    case Trouble::EndLogReader:
        return m_gateways.endLogReader(step.target, step.time);
    default:
        if (m_gateways.count() < m_shape.instances + 2)
            m_gateways.add();
    }
}

void SoakRun::applyToStore(const Step &step)
{
    static constexpr std::array<unsigned, 2> Refusals {503, 429};
    StandIns::StoreTrouble trouble;
    if (step.trouble == Trouble::StoreFailsOnce) {
        // Ordinary, like a rejected call beyond the store's rate, and no disturbance.
        trouble.failures = 1;
        trouble.failure =
            static_cast<StandIns::CallFailure>(step.form / CallerForms % CallFailures);
        const std::string topic =
            step.form / CallerForms / CallFailures == 2 ? "keyed.op" : "keyed.servers";
        const auto form = step.form % CallerForms;
        auto n = step.target % m_gateways.count();
        if (form != AnyCaller) {
            trouble.failingTopic = "Topic=" + topic;
            const auto reader = m_store.lastReader(topic);
            while (!reader.empty() && m_gateways.name(n) != reader)
                n = (n + 1) % m_gateways.count();
        }
        if (form == KilledReader)
            m_gateways.kill(n);
        else if (m_storeTroubles[m_gateways.name(n)] == 0)
            m_store.setTrouble(m_gateways.name(n), trouble);
        return;
    }
    trouble.refusal = step.trouble == Trouble::StoreRefuses ? Refusals.at(step.form % 2) : 0;
    trouble.isSilent = step.trouble == Trouble::StoreSilent;
    trouble.isReset = step.trouble == Trouble::StoreResets;
    trouble.losesAnswers = step.trouble == Trouble::StoreLosesAnswers;
    if (step.trouble == Trouble::StoreSlow)
        trouble.delay = 300ms;
    // Half of the troubles concern some callers only.
    const bool concernsAll = step.form < 2;
    std::vector<std::string> callers;
    for (std::size_t n = 0; n < m_gateways.count(); ++n) {
        if (concernsAll || (n + step.target) % 3 == 0)
            callers.push_back(m_gateways.name(n));
    }
    for (const auto &caller : callers) {
        ++m_storeTroubles[caller];
        m_store.setTrouble(caller, trouble);
    }
    m_world.isStoreDown = m_world.isStoreDown || concernsAll;
    asio::co_spawn(m_world.context, endStoreTrouble(std::move(callers), step.time), asio::detached);
}

asio::awaitable<void> SoakRun::endStoreTrouble(std::vector<std::string> callers, Time time)
{
    // Instances learn from each other, so that a trouble of one caller concerns all.
    const auto n = m_world.history.disturbances.size();
    Disturbance disturbance;
    disturbance.from = m_world.now();
    m_world.history.disturbances.push_back(disturbance);
    co_await pause(time);
    bool isOver = true;
    for (const auto &caller : callers) {
        if (--m_storeTroubles[caller] == 0)
            m_store.setTrouble(caller, {});
    }
    for (const auto &[caller, count] : m_storeTroubles)
        isOver = isOver && count == 0;
    m_world.history.disturbances[n].to = m_world.now();
    if (isOver)
        m_world.isStoreDown = false;
}

void SoakRun::applyToUpstreams(const Step &step)
{
    switch (step.trouble) {
    case Trouble::Drain:
    case Trouble::Remove: {
        UpstreamFleet::Departure departure;
        departure.isRemoval = step.trouble == Trouble::Remove;
        departure.saysLeaving = (step.form & SaysLeaving) != 0;
        departure.hasStaleEntry = (step.form & HasStaleEntry) != 0;
        departure.returns = (step.form & Returns) != 0;
        return m_upstreams.leave(step.target, step.time, departure);
    }
    case Trouble::Crash:
        return m_upstreams.crash(step.target, step.time, ClockErrors.at(step.form));
    case Trouble::Release:
        return m_upstreams.release(services(step.target));
    case Trouble::Failures:
        return m_upstreams.fail(services(step.target), makeFaults(step.form), 0.5, step.time);
    case Trouble::Full: {
        UpstreamFaults faults;
        faults.rejects = 0.8;
        return m_upstreams.fail(services(step.target), faults, 1, step.time);
    }
    case Trouble::NameLimit:
        return m_upstreams.limit(services(step.target), LimitRates.at(step.form % ConcernsAll),
                                 step.form < ConcernsAll ? 0.5 : 1, step.time);
    default:
        m_upstreams.writeOddEntry(step.target);
    }
}

void SoakRun::configure()
{
    const auto route = [](const std::string &name, const std::string &prefix,
                          const std::string &rest) {
        return R"({"Name":")" + name + R"(","Host":"a.example","PathPrefix":")" + prefix
               + R"(","TargetLatencyMs":300,"Priority":1,)" + rest + "}";
    };
    const std::string once =
        R"("Kind":"non_idempotent","TimeoutMs":4000,"Service":"app","MaxAttempts":3)";
    auto routes = route("calls", "/calls/", once) + ","
                  + route("views", "/views/",
                          R"("Kind":"idempotent","TimeoutMs":4000,"Service":"app","MaxAttempts":3)")
                  + ","
                  + route("streams", "/streams/",
                          R"("Kind":"streaming","TimeoutMs":12000,"Service":"llm","MaxAttempts":3,)"
                          R"("Resumable":true,"GapAimMs":300)")
                  + ","
                  + route("streams-once", "/streams/once/",
                          R"("Kind":"streaming","TimeoutMs":12000,"Service":"llm","MaxAttempts":3,)"
                          R"("Resumable":false,"GapAimMs":300)");
    if (m_hasPassingRoute)
        routes += "," + route("passing", "/passing/", once);
    Configuration configuration;
    configuration.passingKey = "passing-" + std::to_string(m_passingKeys);
    configuration.hasPassingRoute = m_hasPassingRoute;
    m_version += 3;
    m_store.put(
        "keyed.op", "config",
        R"({"Version":)" + std::to_string(m_version) + R"(,"Routes":[)" + routes
            + R"(],"Services":[{"Name":"app","MaxConns":96},{"Name":"llm","MaxConns":230,"Engine":)"
              R"({"Slots":32,"KvCapacity":212434,"TokenKvBytes":327680,"LinkMbps":1500000.0,)"
              R"("Models":[{"Name":"model"}]}}],"Limits":{"MaxHeaderBytes":16384,)"
              R"("MaxBodyBytes":100000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},)"
              R"("Tenants":[{"Name":"liit","ApiKeys":["key-1",")"
            + configuration.passingKey + R"("]}]})");
    configuration.at = m_world.now();
    m_world.history.configurations.push_back(configuration);
}

void SoakRun::writeReport(const SoakResult &result) const
{
    std::ofstream file(m_options.folder + "/report.txt");
    file << "seed " << m_options.seed << ", " << result.summary() << "\n";
    for (const auto &found : result.breaks)
        file << text(found) << "\n";
    file << "\nstatuses:";
    for (const auto &[status, count] : result.statuses)
        file << " " << status << ": " << count;
    file << "\n";
    file << "\ntroubles:\n";
    for (const auto &step : m_steps)
        file << step.at.count() << " ms: " << nameOf(step.trouble) << ", target " << step.target
             << ", for " << step.time.count() << " ms, form " << step.form << "\n";
    file << "\ndisturbances:\n";
    for (const auto &item : m_world.history.disturbances)
        file << item.from.count() << " to " << item.to.count() << " ms: "
             << (item.isOfTest           ? "the test was late"
                 : item.instance.empty() ? "the store"
                                         : item.instance)
             << "\n";
    file << "\nlimits:\n";
    for (const auto &item : m_world.history.limits)
        file << item.from.count() << " to " << item.to.count() << " ms: " << item.upstream << " "
             << item.requestsPerSecond << " a second\n";
    file << "\ndepartures:\n";
    for (const auto &item : m_world.history.departures)
        file << item.from.count() << " ms: " << item.upstream
             << (item.isRemoval ? " removed" : " draining") << "\n";
    std::set<std::string> shown;
    for (const auto &found : result.breaks) {
        if (found.request.empty() || shown.size() >= MaxShownBreaks
            || !shown.insert(found.request).second)
            continue;
        const auto request = m_world.history.requests.find(found.request);
        if (request == m_world.history.requests.end())
            continue;
        const auto &item = request->second;
        file << "\nrequest " << item.id << " " << item.target << " at " << item.instance << ": "
             << item.sentAt.count() << " to " << item.endedAt.count() << " ms, status "
             << item.status << ", seal " << item.seal << (item.hasLeft ? ", left" : "") << "\n";
        const auto arrivals = m_world.history.arrivals.find(item.id);
        if (arrivals == m_world.history.arrivals.end())
            continue;
        for (const auto &arrival : arrivals->second)
            file << "  at " << arrival.upstream << " after " << arrival.at.count() << " ms: status "
                 << arrival.status << (arrival.hasRun ? ", ran" : ", did not run")
                 << (arrival.isAnswered ? ", answered" : "") << ", seal " << arrival.seal << "\n";
    }
}

} // namespace Soak
