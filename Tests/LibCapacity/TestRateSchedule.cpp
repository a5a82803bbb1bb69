#include <LibCapacity/RateSchedule.h>
#include <LibCapacity/UnkeptShare.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <functional>
#include <random>
#include <vector>

using namespace std::chrono_literals;
using Capacity::Milliseconds;
using Capacity::Monotonic;
using Capacity::RateSchedule;

namespace {

constexpr double Tolerance = 1.5;
constexpr double Slack = 5;
constexpr double Window = 4'000;
constexpr double StableTime = 3'000;

Monotonic at(double milliseconds)
{
    return Monotonic(1h)
           + std::chrono::duration_cast<Monotonic::duration>(Milliseconds(milliseconds));
}

/// Instances that send requests to one upstream with a limit. What an instance knows of the others
/// is up to 1.5 s old, and the first one that it knows to run keeps the limit. Times are in
/// milliseconds.
class LimitSimulation
{
public:
    LimitSimulation(unsigned instances, double limit, double demand, unsigned seed)
        : m_limit(limit)
        , m_demand(demand)
        , m_random(seed)
        , m_instances(instances)
    {
        for (auto &it : m_instances) {
            it.lag = uniform(200, 1'500);
            it.weight = uniform(0.2, 2);
            it.isTold = uniform(0, 1) < 0.5;
            m_weights += it.weight;
        }
        m_history.push_back({0, std::vector<int>(instances, 0)});
    }

    /// From this time on, instances reach those of the same group; those of a negative one do not
    /// run.
    void setGroups(double time, const std::function<int(unsigned)> &groupOf)
    {
        std::vector<int> groups;
        for (unsigned n = 0; n < m_instances.size(); ++n)
            groups.push_back(groupOf(n));
        for (unsigned n = 0; n < groups.size(); ++n) {
            // A process that ends loses what it knew.
            if (groups[n] < 0)
                m_instances[n].state = {};
        }
        m_history.push_back({time, std::move(groups)});
    }

    void runUntil(double end)
    {
        constexpr double Step = 5;
        for (; m_now < end; m_now += Step) {
            for (unsigned n = 0; n < m_instances.size(); ++n) {
                const auto &it = m_instances[n];
                const auto expected = m_demand * it.weight / m_weights * Step / 1'000;
                for (auto count = std::poisson_distribution<int>(expected)(m_random); count > 0;
                     --count) {
                    if (groupOf(n, m_now) >= 0)
                        request(n);
                }
            }
        }
    }

    /// Returns the most requests in a window of those that begin in the time.
    double most(double from, double to) const
    {
        std::size_t most = 0;
        for (auto begin = from; begin + Window <= to; begin += 100)
            most = std::max(most, sentBetween(begin, begin + Window));
        return static_cast<double>(most);
    }
    std::size_t sentBetween(double from, double to) const
    {
        return static_cast<std::size_t>(std::count_if(
            m_sent.begin(), m_sent.end(), [=](double it) { return it >= from && it < to; }));
    }

private:
    struct State
    {
        RateSchedule kept;
        Capacity::UnkeptShare unkept;
        double fullUntil = 0;
        double silentUntil = 0;
        int misses = 0;
    };
    struct Instance
    {
        double lag = 0;
        double weight = 1;
        bool isTold = false;
        State state;
    };
    struct Groups
    {
        double since = 0;
        std::vector<int> groups;
    };

    double uniform(double from, double to)
    {
        return std::uniform_real_distribution<double>(from, to)(m_random);
    }
    int groupOf(unsigned instance, double time) const
    {
        const auto it = std::find_if(m_history.rbegin(), m_history.rend(),
                                     [=](const auto &entry) { return entry.since <= time; });
        return it == m_history.rend() ? 0 : it->groups[instance];
    }
    bool reaches(unsigned from, unsigned to, double time) const
    {
        return from == to || (groupOf(to, time) >= 0 && groupOf(from, time) == groupOf(to, time));
    }

    void request(unsigned sender)
    {
        auto &self = m_instances[sender];
        const auto size = static_cast<unsigned>(m_instances.size());
        if (!self.isTold) {
            // Its answer has the limit. Requests sent before do not count.
            self.isTold = true;
            return;
        }
        if (self.state.fullUntil > m_now)
            return;
        const auto known = m_now - self.lag;
        unsigned keeper = 0;
        while (!reaches(sender, keeper, known))
            ++keeper;
        constexpr double Loss = 0.03;
        const bool isLost =
            sender != keeper && (!reaches(sender, keeper, m_now) || uniform(0, 1) < Loss);
        RateSchedule::Reservation result;
        if (isLost || (sender != keeper && self.state.silentUntil > m_now)) {
            if (isLost && ++self.state.misses > 1)
                self.state.silentUntil = m_now + 500;
            result.isGranted = self.state.unkept.allows(m_limit, size, uniform(0, 1), at(m_now));
        } else {
            self.state.misses = 0;
            unsigned reachable = 0;
            for (unsigned n = 0; n < size; ++n)
                reachable += reaches(keeper, n, m_now - m_instances[keeper].lag) ? 1 : 0;
            result =
                m_instances[keeper].state.kept.reserve(Capacity::keptRate(m_limit, reachable, size),
                                                       Milliseconds(0), uniform(0, 1), at(m_now));
        }
        if (result.isGranted)
            m_sent.push_back(m_now);
        else
            self.state.fullUntil = m_now + result.wait.count();
    }

    double m_limit;
    double m_demand;
    std::mt19937 m_random;
    std::vector<Instance> m_instances;
    double m_weights = 0;
    std::vector<Groups> m_history;
    std::deque<double> m_sent;
    double m_now = 0;
};

double allowed(double limit)
{
    return Tolerance * limit * Window / 1'000 + Slack;
}

} // namespace

TEST_CASE("a limit below one request a second holds over any time, and none is sent too early")
{
    RateSchedule schedule;
    std::vector<double> sent;
    for (double now = 0; now < 60'000; now += 50) {
        const auto result = schedule.reserve(0.4, Milliseconds(0), 0, at(now));
        if (result.isGranted)
            sent.push_back(now);
        else
            CHECK(result.wait > Milliseconds(0));
    }
    CHECK(sent.size() >= 24);
    CHECK(sent.size() <= 26);
}

TEST_CASE("requests that wait get sending times of their own")
{
    RateSchedule schedule;
    std::vector<Milliseconds> waits;
    for (int n = 0; n < 5; ++n) {
        const auto result = schedule.reserve(10, 350ms, 0, at(0));
        REQUIRE(result.isGranted == (n < 4));
        waits.push_back(result.wait);
    }
    CHECK(waits[0] == Milliseconds(0));
    CHECK(std::abs((waits[1] - 100ms).count()) < 0.01);
    CHECK(std::abs((waits[3] - 300ms).count()) < 0.01);
    // The next sending time is 400 ms away, and 350 ms may be waited for. The instances that are
    // refused together do not all ask again then.
    CHECK(std::abs((waits[4] - 50ms).count()) < 0.01);
    CHECK(schedule.reserve(10, 350ms, 1, at(0)).wait > 90ms);
}

TEST_CASE("a raised limit is not held back by the times that a lower one assigned")
{
    RateSchedule schedule;
    for (int n = 0; n < 3; ++n)
        schedule.reserve(0.25, 10s, 0, at(0));
    CHECK(schedule.reserve(100, 50ms, 0, at(10)).isGranted);
}

TEST_CASE("instances with different knowledge of the others together keep to an upstream's limit")
{
    const auto instances = GENERATE(3U, 8U, 91U, 300U);
    const auto limit = GENERATE(0.5, 3.6, 40.0);
    const auto seed = GENERATE(1U, 2U, 3U);
    CAPTURE(instances, limit, seed);
    LimitSimulation simulation(instances, limit, 10 * limit + 5, seed);
    constexpr double End = 50'000;
    simulation.runUntil(10'000);
    // The keeper ends, and later starts again with no knowledge.
    simulation.setGroups(10'000, [](unsigned n) { return n == 0 ? -1 : 0; });
    simulation.runUntil(16'000);
    simulation.setGroups(16'000, [](unsigned) { return 0; });
    simulation.runUntil(24'000);
    // Half of the instances is cut off from the others.
    simulation.setGroups(24'000, [](unsigned n) { return static_cast<int>(n % 2); });
    simulation.runUntil(32'000);
    simulation.setGroups(32'000, [](unsigned) { return 0; });
    simulation.runUntil(40'000);
    // Most instances end at the same time.
    simulation.setGroups(40'000, [](unsigned n) { return n % 3 == 0 ? 0 : -1; });
    simulation.runUntil(44'000);
    simulation.setGroups(44'000, [](unsigned) { return 0; });
    simulation.runUntil(End);
    CHECK(simulation.most(StableTime, End) <= allowed(limit));
    // In calm times, the upstream gets what it takes.
    const auto calm = static_cast<double>(simulation.sentBetween(2'000, 10'000));
    CHECK(calm >= 0.8 * 8 * limit);
    CHECK(calm <= 1.1 * 8 * limit + Slack);
}
