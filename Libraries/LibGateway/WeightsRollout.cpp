#include <LibCore/EventLog.h>
#include <LibGateway/FleetWatcher.h>
#include <LibGateway/WeightsRollout.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>

#include <algorithm>

namespace Gateway {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

constexpr auto IdleInterval = 30ms;
constexpr auto StateInterval = 60ms;
// The lease is renewed when less than RenewMargin is left. No orders are sent in its last
// OrderMargin.
constexpr auto RenewMargin = 700ms;
constexpr auto OrderMargin = 300ms;
// Instances try to acquire a free lease in turn, at this interval, to avoid conflicts.
constexpr auto TurnInterval = 60ms;
// An engine refuses requests while it executes an order, so it is paused.
constexpr auto PauseTime = 2'500ms;
// In the minimum time, requests that siblings sent before they received the pause arrive.
constexpr auto MinDrainTime = 20ms;
constexpr auto MaxDrainTime = 500ms;
constexpr auto DrainPollInterval = 10ms;
constexpr auto MaxOrderTime = 3'000ms;
// An order without an answer is repeated for this long, while the engine is paused.
constexpr auto RepeatTime = 1'500ms;
constexpr auto ConflictBackOff = 250ms;
constexpr auto FailureBackOff = 1'000ms;
// Engines that finish their requests, in relation to those that load weights.
constexpr std::size_t UpdatesPerLoad = 2;

} // namespace

WeightsRollout::WeightsRollout(Dependencies dependencies)
    : m_dependencies(dependencies)
{ }

std::vector<WeightsRollout::Task> WeightsRollout::tasks() const
{
    std::vector<Task> result;
    const auto now = m_dependencies.clock.now();
    for (const auto &[model, target] : m_dependencies.targets.newest()) {
        for (const auto &[id, engine] : m_dependencies.fleet.all()) {
            const auto known = engine->weights(model);
            if (known == 0 || known >= target.version || engine->report().isDraining
                || m_isUpdating.contains(id))
                continue;
            const auto it = m_notBefore.find(id);
            if (it == m_notBefore.end() || it->second <= now)
                result.push_back(
                    {engine, model, target.version,
                     m_dependencies.targets.firstNewer(model, known).value_or(target)});
        }
    }
    // Engines with the longest outdated weights come first; among them, those with the fewest
    // requests in flight are ready soonest.
    std::sort(result.begin(), result.end(), [](const Task &left, const Task &right) {
        const auto work = [](const Task &task) { return task.engine->allInFlight(); };
        return std::pair(left.firstNewer.namedAt, work(left))
               < std::pair(right.firstNewer.namedAt, work(right));
    });
    return result;
}

asio::awaitable<void> WeightsRollout::run()
{
    for (;;) {
        co_await sleepFor(IdleInterval);
        auto pending = tasks();
        if (pending.empty() && m_runningUpdates == 0)
            continue;
        const auto targetSince =
            pending.empty() ? m_dependencies.clock.now() : pending.front().firstNewer.learnedAt;
        const bool isHolder = co_await ensureLease(targetSince);
        if (!isHolder)
            continue;
        m_loadLimit = loadLimit();
        // At most half of the engines finish their requests ahead of their loads.
        const auto maxUpdates =
            std::max(m_loadLimit, std::min(UpdatesPerLoad * m_loadLimit, engineCount() / 2));
        for (auto &task : pending) {
            if (m_runningUpdates - m_stuck >= maxUpdates)
                break;
            ++m_runningUpdates;
            m_isUpdating[task.engine->report().id] = true;
            asio::co_spawn(co_await asio::this_coro::executor, updateEngine(std::move(task)),
                           asio::detached);
        }
    }
}

std::size_t WeightsRollout::engineCount() const
{
    const auto &all = m_dependencies.fleet.all();
    return static_cast<std::size_t>(std::count_if(all.begin(), all.end(), [](const auto &item) {
        return !item.second->report().weights.empty();
    }));
}

std::size_t WeightsRollout::loadLimit() const
{
    const auto now = m_dependencies.clock.now();
    std::vector<std::chrono::milliseconds> timesLeft;
    for (const auto &[model, target] : m_dependencies.targets.newest()) {
        for (const auto &[id, engine] : m_dependencies.fleet.all()) {
            const auto known = engine->weights(model);
            const auto since = m_dependencies.targets.outdatedSince(model, known);
            if (known == 0 || !since || engine->report().isDraining)
                continue;
            const auto end = *since + m_dependencies.settings.weightsBound;
            timesLeft.push_back(std::chrono::duration_cast<std::chrono::milliseconds>(end - now));
        }
    }
    return m_pace.limit(engineCount(), std::move(timesLeft));
}

bool WeightsRollout::isTurn(Core::Clock::Monotonic targetSince) const
{
    // Members that do not respond would only delay the others' turns.
    const auto before = m_dependencies.members.reachableBefore("orders");
    return m_dependencies.clock.now() >= targetSince + before * TurnInterval;
}

asio::awaitable<bool> WeightsRollout::ensureLease(Core::Clock::Monotonic targetSince)
{
    const auto now = m_dependencies.clock.now();
    const auto &lease = m_dependencies.journal.lease();
    if (lease.token(now, RenewMargin))
        co_return true;
    const bool isOwn = lease.lastHolder() == m_dependencies.settings.instance;
    if (!lease.mayTake(now, m_dependencies.settings.leaseTime) || (!isOwn && !isTurn(targetSince)))
        co_return false;
    co_return co_await m_dependencies.journal.takeLease();
}

asio::awaitable<void> WeightsRollout::updateEngine(Task task)
{
    std::optional<Core::Error> failure;
    try {
        co_await loadWeights(task);
    } catch (const Core::Error &error) {
        failure = error;
    } catch (const std::exception &fault) {
        failure = Core::Error(Core::ErrorKind::Internal, fault.what());
    }
    const auto &id = task.engine->report().id;
    if (failure) {
        noteUnanswered(task, *failure);
        backOff(task, FailureBackOff);
    }
    task.engine->pauseUntil(Core::Clock::Monotonic::min());
    if (onPause)
        onPause(*task.engine, 0ms);
    m_isUpdating.erase(id);
    --m_runningUpdates;
}

asio::awaitable<EngineState> WeightsRollout::stateOf(Upstream &engine)
{
    auto state = co_await m_dependencies.engines.state(engine.report());
    noteWeights(engine, state);
    co_return state;
}

void WeightsRollout::noteWeights(Upstream &engine, const EngineState &state) const
{
    for (const auto &[model, version] : state.weights) {
        const auto before = engine.weights(model);
        engine.noteWeights(model, version);
        if (version > before && onWeightsSeen)
            onWeightsSeen(engine, model, version);
    }
}

asio::awaitable<void> WeightsRollout::refresh(std::shared_ptr<Upstream> engine)
{
    const auto id = engine->report().id;
    if (!m_isRefreshing.try_emplace(id, true).second)
        co_return;
    try {
        co_await stateOf(*engine);
    } catch (const std::exception &error) {
        Core::logEvent(Core::EventId::OrderUnanswered,
                       {{"upstream", id.value()}, {"reason", error.what()}});
    }
    m_isRefreshing.erase(id);
}

asio::awaitable<void> WeightsRollout::loadWeights(const Task &task)
{
    const auto state = co_await stateOf(*task.engine);
    if (task.engine->weights(task.model) >= task.version)
        co_return;
    if (state.isBusy) {
        backOff(task, ConflictBackOff);
        co_return;
    }
    pause(task);
    co_await awaitIdle(task);
    co_await awaitTurnToLoad(task);
    const bool isOrdered = co_await sendOrderUntilAnswered(task, state);
    if (isOrdered)
        co_await awaitWeights(task);
}

asio::awaitable<bool> WeightsRollout::sendOrderUntilAnswered(const Task &task, EngineState state)
{
    const auto start = m_dependencies.clock.now();
    for (;;) {
        std::optional<Core::Error> failure;
        try {
            co_return co_await sendOrder(task, state);
        } catch (const Core::Error &error) {
            failure = error;
        }
        if (m_dependencies.clock.now() - start >= RepeatTime)
            throw *failure;
        noteUnanswered(task, *failure);
        // The order may have been accepted. One that is carried out later than the next has no
        // effect, since it expects another number of orders.
        state = co_await stateOf(*task.engine);
        if (state.isBusy || task.engine->weights(task.model) >= task.version) {
            backOff(task, ConflictBackOff);
            co_return false;
        }
        pause(task);
    }
}

void WeightsRollout::noteUnanswered(const Task &task, const Core::Error &error) const
{
    Core::logEvent(Core::EventId::OrderUnanswered,
                   {{"upstream", task.engine->report().id.value()}, {"reason", error.what()}});
    m_dependencies.metrics.orders.add(1, {}, "unanswered");
}

void WeightsRollout::pause(const Task &task)
{
    task.engine->pauseUntil(m_dependencies.clock.now() + PauseTime);
    if (onPause)
        onPause(*task.engine, PauseTime);
}

asio::awaitable<void> WeightsRollout::awaitIdle(const Task &task)
{
    // An engine drops its queued requests when it receives an order, and they would have to be
    // retried at other engines.
    const auto start = m_dependencies.clock.now();
    co_await sleepFor(MinDrainTime);
    while (task.engine->allInFlight() > 0 && m_dependencies.clock.now() - start < MaxDrainTime)
        co_await sleepFor(DrainPollInterval);
}

asio::awaitable<void> WeightsRollout::awaitTurnToLoad(const Task &task)
{
    const auto start = m_dependencies.clock.now();
    while (m_loading >= m_loadLimit)
        co_await sleepFor(DrainPollInterval);
    if (m_dependencies.clock.now() - start > PauseTime / 2)
        pause(task);
}

std::optional<std::uint64_t> WeightsRollout::orderToken() const
{
    return m_dependencies.journal.lease().token(m_dependencies.clock.now(), OrderMargin);
}

asio::awaitable<bool> WeightsRollout::sendOrder(const Task &task, const EngineState &state)
{
    const auto &id = task.engine->report().id;
    const auto token = orderToken();
    if (!token)
        co_return false;
    WeightsOrder order;
    order.model = task.model;
    order.version = task.version;
    order.holder = m_dependencies.settings.instance.value();
    order.fencingToken = *token;
    order.expectedOrders = std::max(state.ordersAccepted, m_acceptedOrders[id]);
    // The lease may end or be renewed while the connection is made.
    bool isOutdated = false;
    const auto maySend = [this, &isOutdated, token] {
        isOutdated = orderToken() != token;
        return !isOutdated;
    };
    OrderOutcome outcome {};
    try {
        outcome = co_await m_dependencies.engines.order(task.engine->report(), order, maySend);
    } catch (const Core::Error &) {
        if (!isOutdated)
            throw;
    }
    if (isOutdated) {
        Core::logEvent(Core::EventId::LeaseLost,
                       {{"upstream", id.value()},
                        {"token", std::to_string(*token)},
                        {"reason", "the lease ended or was renewed before an order was sent"}});
        co_return false;
    }
    Core::logEvent(Core::EventId::OrderSent,
                   {{"upstream", id.value()},
                    {"model", task.model},
                    {"version", std::to_string(task.version)},
                    {"token", std::to_string(*token)},
                    {"outcome", std::to_string(static_cast<int>(outcome))}});
    if (outcome == OrderOutcome::Accepted) {
        m_dependencies.metrics.orders.add(1, {}, "accepted");
        m_acceptedOrders[id] = order.expectedOrders + 1;
        co_return true;
    }
    m_dependencies.metrics.orders.add(1, {}, "refused");
    // The engine may have restarted and count from zero again, so the next order relies on its own
    // count.
    m_acceptedOrders.erase(id);
    if (outcome == OrderOutcome::AlreadyInForce) {
        EngineState loaded;
        loaded.weights[task.model] = task.version;
        noteWeights(*task.engine, loaded);
    }
    backOff(task, ConflictBackOff);
    co_return false;
}

asio::awaitable<void> WeightsRollout::awaitWeights(const Task &task)
{
    const auto start = m_dependencies.clock.now();
    const auto elapsed = [&] {
        return std::chrono::duration_cast<std::chrono::milliseconds>(m_dependencies.clock.now()
                                                                     - start);
    };
    ++m_loading;
    bool isStuck = false;
    std::optional<Core::Error> failure;
    try {
        while (elapsed() < MaxOrderTime && !task.engine->isRemoved()
               && task.engine->weights(task.model) < task.version) {
            co_await sleepFor(StateInterval);
            // An order may be carried out late. The others do not wait for it.
            if (!isStuck && elapsed() > m_pace.stuckAfter()) {
                isStuck = true;
                --m_loading;
                ++m_stuck;
            }
            co_await stateOf(*task.engine);
        }
    } catch (const Core::Error &error) {
        failure = error;
    }
    --(isStuck ? m_stuck : m_loading);
    if (failure)
        throw *failure;
    if (task.engine->weights(task.model) < task.version) {
        backOff(task, ConflictBackOff);
        co_return;
    }
    m_pace.noteLoad(elapsed(), engineCount(), m_dependencies.clock.now());
    Core::logEvent(Core::EventId::WeightsInPlace, {{"upstream", task.engine->report().id.value()},
                                                   {"version", std::to_string(task.version)},
                                                   {"took_ms", std::to_string(elapsed().count())},
                                                   {"concurrent", std::to_string(m_loading + 1)}});
}

void WeightsRollout::backOff(const Task &task, std::chrono::milliseconds time)
{
    m_notBefore[task.engine->report().id] = m_dependencies.clock.now() + time;
}

} // namespace Gateway
