#include <LibCapacity/ServiceRoom.h>

#include <catch2/catch.hpp>

#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <vector>

using namespace std::chrono_literals;
using Capacity::Milliseconds;
using Capacity::Monotonic;
using Capacity::RoomLoad;
using Capacity::RoomRequest;
using Capacity::ServiceRoom;

namespace {

constexpr double Target = 120;
constexpr double CallerTime = 600;
constexpr double CallTime = 15;
constexpr unsigned Upstreams = 3;
constexpr unsigned Slots = 6;
constexpr double KeeperTimeout = 25;
constexpr double SkipTime = 2'000;
constexpr unsigned MaxMissed = 2;

Monotonic at(double milliseconds)
{
    return Monotonic(1h)
           + std::chrono::duration_cast<Monotonic::duration>(Milliseconds(milliseconds));
}

struct Shape
{
    unsigned instances = 80;
    /// The offered load as a multiple of what the upstreams can answer.
    double factor = 1;
    /// Whether all requests arrive at one instance.
    bool isOneSender = false;
    bool isDeciding = true;
    /// The probability that a datagram is lost, and that it is duplicated.
    double loss = 0.01;
    /// The keeper of every upstream answers nobody, or only instances of even number, in [from,
    /// to).
    double silentFrom = 0;
    double silentTo = 0;
    bool isPartition = false;
    /// How much longer than usual keepers take to answer.
    double keeperDelay = 0;
    std::uint32_t seed = 7;
};

struct Tally
{
    unsigned asked[2] = {0, 0};
    unsigned inTime[2] = {0, 0};
    unsigned rejected = 0;
    unsigned goodput() const { return inTime[0] + inTime[1]; }
    double share(bool isOnce) const { return 1.0 * inTime[isOnce] / std::max(1U, asked[isOnce]); }
};

/// Instances that send calls to upstreams with few slots and bounded queues, in virtual time.
class Simulation
{
public:
    explicit Simulation(const Shape &shape)
        : m_shape(shape)
        , m_random(shape.seed)
        , m_instances(shape.instances)
        , m_upstreams(Upstreams)
    { }

    Tally run()
    {
        for (auto &instance : m_instances)
            later(uniform(0, 800), [this, &instance] { report(instance); });
        arrive();
        while (!m_events.empty() && m_events.top().time < End + CallerTime) {
            auto event = m_events.top();
            m_events.pop();
            m_now = event.time;
            event.run();
        }
        return m_tally;
    }

private:
    static constexpr double Begin = 1'500;
    static constexpr double End = 4'000;
    static constexpr unsigned QueueLimit = 60;
    static constexpr unsigned MaxAsks = 3;

    struct Event
    {
        double time;
        std::uint64_t order;
        std::function<void()> run;
        bool operator<(const Event &other) const
        {
            return std::pair(time, order) > std::pair(other.time, other.order);
        }
    };
    struct Keeper
    {
        /// The requests that it knows, with the times at which they are forgotten.
        std::map<std::uint64_t, double> entries;
    };
    struct UpstreamState
    {
        unsigned running = 0;
        std::deque<std::function<void()>> waiting;
        /// The second is used by instances that pass over the first.
        Keeper keepers[2];
        unsigned all() const { return running + static_cast<unsigned>(waiting.size()); }
    };
    struct Instance
    {
        ServiceRoom room;
        unsigned seen[Upstreams] = {};
        unsigned own[Upstreams] = {};
        double keptUntil[Upstreams] = {};
        double skippedUntil[Upstreams] = {};
        unsigned missed[Upstreams] = {};
    };
    struct Call
    {
        std::uint64_t number = 0;
        bool isOnce = false;
        bool isReturning = false;
        double arrival = 0;
        unsigned instance = 0;
        unsigned asks = 0;
        std::set<unsigned> tried;
        double untilRoom = CallerTime;
    };

    double uniform(double from, double to)
    {
        constexpr double Range = 1.0 / 4'294'967'296.0;
        return from + (to - from) * m_random() * Range;
    }
    void later(double delay, std::function<void()> run)
    {
        m_events.push({m_now + delay, ++m_order, std::move(run)});
    }
    /// Delivers a datagram after a random delay, perhaps never or twice.
    void transmit(const std::function<void()> &run, double extra = 0)
    {
        const auto fate = uniform(0, 1);
        const auto delay = uniform(0.3, 2);
        if (fate < m_shape.loss)
            return;
        later(delay + extra, run);
        if (fate > 1 - m_shape.loss)
            later(delay + extra + 1, run);
    }

    void report(Instance &instance)
    {
        for (unsigned n = 0; n < Upstreams; ++n) {
            if (instance.keptUntil[n] <= m_now)
                instance.seen[n] = m_upstreams[n].all();
        }
        later(uniform(100, 800), [this, &instance] { report(instance); });
    }

    void arrive()
    {
        const auto perMillisecond = m_shape.factor * Upstreams * Slots / CallTime;
        later(-std::log(uniform(1e-9, 1)) / perMillisecond, [this] {
            if (m_now >= End)
                return;
            Call call;
            call.isOnce = uniform(0, 1) < 0.59;
            call.arrival = m_now;
            if (m_now >= Begin)
                ++m_tally.asked[call.isOnce];
            start(call);
            arrive();
        });
    }
    void start(Call call)
    {
        const auto instance = static_cast<unsigned>(uniform(0, m_shape.instances));
        call.number = ++m_lastNumber;
        call.instance = m_shape.isOneSender ? 0 : instance;
        call.asks = 0;
        call.tried.clear();
        place(std::move(call));
    }

    /// Sends the call to the least loaded upstream, or asks its keeper first.
    void place(Call call)
    {
        auto &instance = m_instances[call.instance];
        std::optional<unsigned> best;
        const auto first = static_cast<unsigned>(uniform(0, Upstreams));
        for (unsigned n = first; n < first + Upstreams; ++n) {
            const auto candidate = n % Upstreams;
            const bool isCapped = !m_shape.isDeciding && instance.own[candidate] >= MaxOwn;
            if (!isCapped && !call.tried.contains(candidate)
                && (!best || instance.seen[candidate] < instance.seen[*best]))
                best = candidate;
        }
        if (!best || call.asks == MaxAsks) {
            refuse(std::move(call));
            return;
        }
        ++call.asks;
        call.tried.insert(*best);
        if (m_shape.isDeciding)
            ask(std::move(call), *best);
        else
            send(std::move(call), *best, instance.seen[*best]);
    }

    RoomRequest requestOf(const Call &call) const
    {
        RoomRequest request;
        request.remaining = Milliseconds(call.arrival + CallerTime - m_now);
        request.target = Milliseconds(Target);
        request.untilLate = Milliseconds(call.arrival + Target - m_now);
        request.isOnce = call.isOnce;
        request.isReturning = call.isReturning;
        return request;
    }

    bool isSilent(unsigned keeper, unsigned instance) const
    {
        return keeper == 0 && m_now >= m_shape.silentFrom && m_now < m_shape.silentTo
               && (!m_shape.isPartition || instance % 2 == 1);
    }

    void ask(Call call, unsigned upstream)
    {
        auto &instance = m_instances[call.instance];
        const unsigned keeper = instance.skippedUntil[upstream] > m_now ? 1 : 0;
        const auto limit = instance.room.limit(upstream, Slots, requestOf(call), at(m_now));
        const auto isDone = std::make_shared<bool>(false);
        const auto counted =
            m_now + instance.room.maxCounted({upstream, Slots, limit}, requestOf(call)).count();
        later(KeeperTimeout, [this, call, upstream, limit, isDone] {
            if (std::exchange(*isDone, true))
                return;
            auto &asker = m_instances[call.instance];
            if (++asker.missed[upstream] >= MaxMissed)
                asker.skippedUntil[upstream] = m_now + SkipTime;
            proceed(call, upstream, limit, asker.seen[upstream]);
        });
        transmit([this, call, upstream, keeper, limit, counted, isDone] {
            if (isSilent(keeper, call.instance))
                return;
            auto &entries = m_upstreams[upstream].keepers[keeper].entries;
            std::erase_if(entries, [this](const auto &item) { return item.second <= m_now; });
            const auto ahead = static_cast<unsigned>(entries.size());
            if (ahead < limit)
                entries.try_emplace(call.number, counted);
            transmit(
                [this, call, upstream, limit, ahead, isDone] {
                    if (std::exchange(*isDone, true))
                        return;
                    auto &asker = m_instances[call.instance];
                    asker.missed[upstream] = 0;
                    asker.seen[upstream] = ahead;
                    asker.keptUntil[upstream] = m_now + 200;
                    proceed(call, upstream, limit, ahead);
                },
                m_shape.keeperDelay);
        });
    }
    void proceed(Call call, unsigned upstream, unsigned limit, unsigned ahead)
    {
        auto &instance = m_instances[call.instance];
        if (ahead < limit) {
            send(std::move(call), upstream, ahead);
            return;
        }
        const auto spread = uniform(0, 1);
        const auto wait =
            instance.room.untilRoom({upstream, Slots, ahead}, requestOf(call), spread, at(m_now));
        call.untilRoom = std::min(call.untilRoom, wait.count());
        place(std::move(call));
    }

    void send(Call call, unsigned upstream, unsigned ahead)
    {
        ++m_instances[call.instance].own[upstream];
        const auto sent = m_now;
        later(uniform(0.3, 2), [this, call, upstream, ahead, sent] {
            auto &state = m_upstreams[upstream];
            const auto run = [this, call, upstream, ahead, sent] {
                const auto time = uniform(0.5, 1.5) * CallTime;
                later(time,
                      [this, call, upstream, ahead, sent] { finish(call, upstream, ahead, sent); });
            };
            if (state.running < Slots) {
                ++state.running;
                run();
            } else if (state.waiting.size() < QueueLimit) {
                state.waiting.push_back(run);
            } else {
                ++m_tally.rejected;
                later(uniform(0.3, 2), [this, call, upstream, ahead] {
                    m_instances[call.instance].room.noteRejected({upstream, Slots, ahead},
                                                                 at(m_now));
                    leave(call, upstream);
                    place(call);
                });
            }
        });
    }
    void finish(const Call &call, unsigned upstream, unsigned ahead, double sent)
    {
        auto &state = m_upstreams[upstream];
        if (state.waiting.empty()) {
            --state.running;
        } else {
            const auto next = std::move(state.waiting.front());
            state.waiting.pop_front();
            next();
        }
        later(uniform(0.3, 2), [this, call, upstream, ahead, sent] {
            leave(call, upstream);
            m_instances[call.instance].room.noteAnswer({upstream, Slots, ahead},
                                                       Milliseconds(m_now - sent), at(m_now));
            if (call.arrival >= Begin && m_now - call.arrival <= Target)
                ++m_tally.inTime[call.isOnce];
        });
    }
    void leave(const Call &call, unsigned upstream)
    {
        --m_instances[call.instance].own[upstream];
        transmit(
            [this, call, upstream] {
                for (auto &keeper : m_upstreams[upstream].keepers)
                    keeper.entries.erase(call.number);
            },
            3);
    }
    void refuse(Call call)
    {
        if (std::exchange(call.isReturning, true))
            return;
        const auto remaining = call.arrival + CallerTime - m_now;
        const auto wait = std::min(m_shape.isDeciding ? call.untilRoom : 300, remaining / 3);
        call.untilRoom = CallerTime;
        later(wait, [this, call] { start(call); });
    }

    static constexpr unsigned MaxOwn = 2;

    Shape m_shape;
    std::mt19937 m_random;
    std::vector<Instance> m_instances;
    std::vector<UpstreamState> m_upstreams;
    std::priority_queue<Event> m_events;
    double m_now = 0;
    std::uint64_t m_order = 0;
    std::uint64_t m_lastNumber = 0;
    Tally m_tally;
};

Tally simulate(const Shape &shape)
{
    const auto tally = Simulation(shape).run();
    UNSCOPED_INFO(shape.instances << " instances, load " << shape.factor << ", one sender "
                                  << shape.isOneSender << ", deciding " << shape.isDeciding
                                  << ": in time " << tally.goodput() << ", once "
                                  << tally.share(true) << ", idempotent " << tally.share(false)
                                  << ", rejected " << tally.rejected);
    return tally;
}

} // namespace

TEST_CASE("reads are refused at a quarter of the queue of bookings, unless their caller returned")
{
    ServiceRoom room;
    const auto now = at(0);
    room.noteAnswer({1, 6, 0}, Milliseconds(15), now);
    RoomRequest request {Milliseconds(600), Milliseconds(120), Milliseconds(120), true, false};
    const auto queue = room.limit(1, 6, request, now) - 6;
    CHECK(queue == 27);
    request.isOnce = false;
    CHECK(room.limit(1, 6, request, now) == 6 + queue / 4);
    request.isReturning = true;
    CHECK(room.limit(1, 6, request, now) == 6 + queue);
    // An answer that will be late does not take the place of one in time.
    request.untilLate = Milliseconds(10);
    CHECK(room.limit(1, 6, request, now) == 6 + queue / 4);
    request.untilLate = Milliseconds(120);
    // Too little time for a wait, and too little for the answer itself.
    request.remaining = Milliseconds(16);
    CHECK(room.limit(1, 6, request, now) == 6);
    request.remaining = Milliseconds(10);
    CHECK(room.limit(1, 6, request, now) == 1);
}

TEST_CASE("answer times are learned without the wait for a slot and follow a change")
{
    ServiceRoom room;
    const Milliseconds target(120);
    CHECK(room.answerTime(1, target).count() == Approx(30));
    room.noteAnswer({1, 6, 11}, Milliseconds(30), at(0));
    CHECK(room.answerTime(1, target).count() == Approx(15));
    CHECK(room.answerTime(2, target).count() == Approx(15));
    room.noteAnswer({1, 6, 0}, Milliseconds(10'000), at(1));
    CHECK(room.answerTime(1, target).count() <= 60);
    for (int n = 0; n < 60; ++n)
        room.noteAnswer({1, 6, 0}, Milliseconds(15), at(n));
    CHECK(room.answerTime(1, target).count() == Approx(15).epsilon(0.1));
}

TEST_CASE("the queue of an upstream is assumed to end where it rejected a request")
{
    ServiceRoom room;
    room.noteAnswer({1, 6, 0}, Milliseconds(15), at(0));
    const RoomRequest request {Milliseconds(600), Milliseconds(120), Milliseconds(120), true,
                               false};
    room.noteRejected({1, 6, 3}, at(0));
    CHECK(room.limit(1, 6, request, at(1)) == 33);
    room.noteRejected({1, 6, 10}, at(0));
    CHECK(room.limit(1, 6, request, at(1)) == 10);
    CHECK(room.limit(1, 6, request, at(6'000)) == 33);
}

TEST_CASE("requests that were refused together are told different times")
{
    ServiceRoom room;
    room.noteAnswer({1, 6, 0}, Milliseconds(60), at(0));
    const RoomRequest request {Milliseconds(1'500), Milliseconds(300), Milliseconds(300), true,
                               false};
    const RoomLoad load {1, 6, 40};
    const auto first = room.untilRoom(load, request, 0, at(1));
    CHECK(first.count() > 200);
    CHECK(room.untilRoom(load, request, 1, at(1)).count() == Approx(2 * first.count()));
}

TEST_CASE("goodput of a plain service holds at eight times its capacity, and reads are shed first")
{
    for (const unsigned instances : {8U, 80U, 300U}) {
        for (const bool isOneSender : {false, true}) {
            Shape shape;
            shape.instances = instances;
            shape.isOneSender = isOneSender;
            const auto full = simulate(shape);
            for (const double factor : {2.0, 4.0, 8.0}) {
                shape.factor = factor;
                const auto tally = simulate(shape);
                CHECK(tally.goodput() >= 0.9 * full.goodput());
                CHECK(tally.share(true) > 1.5 * tally.share(false));
                CHECK(tally.rejected <= full.goodput() / 100);
            }
        }
    }
}

TEST_CASE("without the decision, goodput of the same overload is lost")
{
    Shape shape;
    const auto full = simulate(shape);
    shape.factor = 4;
    const auto decided = simulate(shape);
    shape.isDeciding = false;
    const auto undecided = simulate(shape);
    CHECK(decided.goodput() >= 0.9 * full.goodput());
    CHECK(undecided.goodput() < 0.5 * decided.goodput());
}

TEST_CASE("goodput holds while keepers are silent, partitioned or slow, and datagrams are lost")
{
    Shape shape;
    shape.factor = 2;
    const auto usual = simulate(shape);
    auto killed = shape;
    killed.silentFrom = 2'000;
    killed.silentTo = 1e9;
    CHECK(simulate(killed).goodput() >= 0.9 * usual.goodput());
    auto partitioned = shape;
    partitioned.silentFrom = 2'000;
    partitioned.silentTo = 3'000;
    partitioned.isPartition = true;
    CHECK(simulate(partitioned).goodput() >= 0.9 * usual.goodput());
    auto slow = shape;
    slow.keeperDelay = 15;
    CHECK(simulate(slow).goodput() >= 0.9 * usual.goodput());
    auto lossy = shape;
    lossy.loss = 0.05;
    CHECK(simulate(lossy).goodput() >= 0.9 * usual.goodput());
}
