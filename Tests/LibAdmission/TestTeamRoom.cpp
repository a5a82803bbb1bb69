#include <LibAdmission/TeamRoom.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <utility>

using namespace Admission;
using namespace std::chrono_literals;

namespace {

constexpr auto Start = TeamRoom::Monotonic(std::chrono::hours(1));
constexpr std::size_t Teams = 16;
constexpr std::size_t FloodingTeam = 0;
// Half of this is the wait for which the engines' own limit refuses a prompt.
constexpr TeamRoom::Milliseconds Target {1'500};

struct Load
{
    std::size_t instances = 8;
    /// By how much the flooding team exceeds its usual rate from second 10 on.
    double floodFactor = 1;
    bool isDividing = true;
    /// Share of the reports that are lost, and of those that arrive one interval late.
    double reportLoss = 0;
    double reportDelay = 0;
    /// Kills one of the instances that the flooding team's callers reach at second 25.
    bool isKilling = false;
};

struct Outcome
{
    /// By team, the share of the requests that were served.
    std::vector<double> served;
    /// The share of the pool's rate that was used.
    double utilization = 0;
};

/// Engines as one pool with a rate. Callers of a team reach a few instances, and return once after
/// a refusal. Time passes in steps.
class Simulation
{
public:
    explicit Simulation(const Load &load)
        : m_load(load)
        , m_rooms(load.instances)
        , m_published(load.instances)
        , m_requests(Teams)
        , m_served(Teams)
    { }

    Outcome run()
    {
        for (; m_time < End; m_time += Step) {
            if (m_time % ReportInterval == 0ms)
                exchangeReports();
            step();
        }
        Outcome outcome;
        for (std::size_t team = 0; team < Teams; ++team)
            outcome.served.push_back(m_served[team] / m_requests[team]);
        outcome.utilization = m_usedTokens / tokensIn(End - FloodStart, PoolRate);
        return outcome;
    }

private:
    static constexpr auto Step = 10ms;
    static constexpr auto ReportInterval = 400ms;
    static constexpr auto FloodStart = 10s;
    static constexpr auto KillTime = 25s;
    static constexpr auto End = 40s;
    // Tokens per second.
    static constexpr double PoolRate = 2'000'000;
    static constexpr double UsualLoad = 0.8;
    // Each instance knows the backlog as it was this many steps ago.
    static constexpr std::size_t BacklogAge = 20;

    struct Caller
    {
        std::size_t team = 0;
        std::size_t instance = 0;
        unsigned tokens = 0;
        bool isReturning = false;
    };

    /// The flooding team has a fifth of the usual load, the others have the rest in equal parts.
    double usualRate(std::size_t team) const
    {
        const auto part = team == FloodingTeam ? 0.2 : 0.8 / (Teams - 1);
        return UsualLoad * PoolRate * part;
    }

    static double tokensIn(std::chrono::duration<double> time, double tokensPerSecond)
    {
        return time.count() * tokensPerSecond;
    }

    double draw() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

    void step()
    {
        m_backlogs.push_back(m_backlog);
        if (m_backlogs.size() > BacklogAge)
            m_backlogs.pop_front();
        const auto now = Start + m_time;
        while (!m_returns.empty() && m_returns.begin()->first <= now) {
            const auto caller = m_returns.begin()->second;
            m_returns.erase(m_returns.begin());
            arrive(caller, now);
        }
        for (std::size_t team = 0; team < Teams; ++team) {
            const bool isFlooding = team == FloodingTeam && m_time >= FloodStart;
            const double rate = usualRate(team) * (isFlooding ? m_load.floodFactor : 1);
            constexpr double MeanTokens = 4'000;
            const auto expected = tokensIn(Step, rate) / MeanTokens;
            for (auto left = expected + draw(); left >= 1; --left)
                arrive(newCaller(team), now);
        }
        const auto used = std::min(m_backlog, tokensIn(Step, PoolRate));
        m_backlog -= used;
        if (m_time >= FloodStart)
            m_usedTokens += used;
    }

    Caller newCaller(std::size_t team)
    {
        const auto reached = std::max<std::size_t>(1, m_load.instances / 8);
        const auto offset = static_cast<std::size_t>(draw() * static_cast<double>(reached));
        // 5 of 6 prompts have 2,000 tokens, the others 14,000.
        const unsigned tokens = draw() < 1.0 / 6 ? 14'000 : 2'000;
        auto instance = (team * reached / 2 + offset) % m_load.instances;
        if (m_load.isKilling && m_time >= KillTime && instance == 0)
            instance = 1;
        if (m_time >= FloodStart)
            ++m_requests[team];
        return {team, instance, tokens, false};
    }

    void arrive(const Caller &caller, TeamRoom::Monotonic now)
    {
        auto &room = m_rooms[caller.instance];
        const auto team = "team" + std::to_string(caller.team);
        const TeamRoom::Milliseconds wait =
            std::chrono::duration<double>(m_backlogs.front() / PoolRate);
        const auto limit = Target / 2 * (caller.isReturning ? 2 : 1);
        room.noteAsked("llm", team, caller.tokens, now);
        room.noteWait("llm", wait, Target, now);
        const auto excess =
            m_load.isDividing ? room.refuse("llm", team, caller.tokens, now) : std::nullopt;
        if (excess || wait > limit) {
            const TeamRoom::Milliseconds pause = excess ? excess->retryAfter : wait - limit;
            refuse(caller, now
                               + std::chrono::ceil<std::chrono::milliseconds>(
                                   std::clamp<TeamRoom::Milliseconds>(pause, 100ms, 4s)));
            return;
        }
        room.noteAdmitted("llm", team, caller.tokens, now);
        m_backlog += caller.tokens;
        if (m_time >= FloodStart)
            ++m_served[caller.team];
    }

    void refuse(Caller caller, TeamRoom::Monotonic returnTime)
    {
        if (!std::exchange(caller.isReturning, true))
            m_returns.emplace(returnTime, caller);
    }

    void exchangeReports()
    {
        const auto now = Start + m_time;
        for (std::size_t n = 0; n < m_load.instances; ++n) {
            if (m_load.isKilling && n == 0 && m_time >= KillTime)
                m_published[n].clear();
            else if (draw() >= m_load.reportLoss)
                m_published[n] = m_rooms[n].ownRates(128, now);
        }
        for (std::size_t n = 0; n < m_load.instances; ++n) {
            std::vector<TeamRate> others;
            for (std::size_t sender = 0; sender < m_load.instances; ++sender) {
                if (sender != n)
                    others.insert(others.end(), m_published[sender].begin(),
                                  m_published[sender].end());
            }
            const auto fate = draw();
            if (fate < m_load.reportLoss)
                continue;
            if (fate < m_load.reportLoss + m_load.reportDelay)
                m_lateReports[n].swap(others);
            m_rooms[n].setReported(others, now);
            m_lateReports[n] = others;
        }
    }

    Load m_load;
    std::mt19937_64 m_random {1};
    std::chrono::milliseconds m_time {0};
    std::vector<TeamRoom> m_rooms;
    std::vector<std::vector<TeamRate>> m_published;
    std::map<std::size_t, std::vector<TeamRate>> m_lateReports;
    std::multimap<TeamRoom::Monotonic, Caller> m_returns;
    std::deque<double> m_backlogs;
    std::vector<double> m_requests;
    std::vector<double> m_served;
    double m_backlog = 0;
    double m_usedTokens = 0;
};

/// Returns the smallest share served of any team that does not flood.
double leastOther(const Outcome &outcome)
{
    return *std::min_element(outcome.served.begin() + 1, outcome.served.end());
}

} // namespace

TEST_CASE("the other teams are served as usual while one team floods the engines")
{
    // Guards against refusing all teams alike for the load of one of them.
    for (const std::size_t instances : {8U, 80U, 300U}) {
        const auto usual = Simulation({instances}).run();
        const auto undivided = Simulation({instances, 12, false}).run();
        const auto divided = Simulation({instances, 12}).run();
        INFO(instances << " instances: least share of the others " << leastOther(usual)
                       << " usually, " << leastOther(undivided) << " undivided, "
                       << leastOther(divided) << " divided; utilization " << undivided.utilization
                       << " and " << divided.utilization);
        CHECK(leastOther(undivided) < leastOther(usual) - 0.3);
        CHECK(leastOther(divided) > leastOther(usual) - 0.05);
        CHECK(divided.utilization > undivided.utilization - 0.05);
    }
}

TEST_CASE("lost and late reports and a killed instance do not make the other teams lose")
{
    for (const std::size_t instances : {8U, 80U}) {
        const auto outcome = Simulation({instances, 12, true, 0.2, 0.3, true}).run();
        INFO(instances << " instances: " << leastOther(outcome) << ", " << outcome.utilization);
        CHECK(leastOther(outcome) > 0.95);
    }
}

TEST_CASE("teams that ask for less than the capacity are not limited")
{
    // Twice the usual rate of one team fits the pool, so that it has to be served.
    const auto outcome = Simulation({80, 2}).run();
    CHECK(outcome.served[FloodingTeam] > 0.99);
    CHECK(leastOther(outcome) > 0.99);
}

namespace {

/// Plays 20 s in which each team sends a prompt of its tokens every 10 ms, while the engines take
/// `poolTokens` in that time. Returns the time.
TeamRoom::Monotonic overload(TeamRoom &room, const std::map<std::string, unsigned> &tokensByTeam,
                             double poolTokens)
{
    double backlog = 0;
    auto now = Start;
    for (; now < Start + 20s; now += 10ms) {
        for (const auto &[team, tokens] : tokensByTeam) {
            const TeamRoom::Milliseconds wait = backlog / poolTokens * 10ms;
            room.noteAsked("llm", team, tokens, now);
            room.noteWait("llm", wait, Target, now);
            if (room.refuse("llm", team, tokens, now) || wait > Target / 2)
                continue;
            backlog += tokens;
            room.noteAdmitted("llm", team, tokens, now);
        }
        backlog = std::max(0.0, backlog - poolTokens);
    }
    return now;
}

} // namespace

TEST_CASE("a team alone has all of the capacity")
{
    TeamRoom room;
    const auto now = overload(room, {{"a", 3'000}}, 1'000);
    CHECK(room.isShort("llm", now));
    CHECK(room.standing("llm", "a", now).admittedPerSecond > 95'000);
}

TEST_CASE("waits that do not depend on what is admitted do not lower the capacity without end")
{
    TeamRoom room;
    auto now = Start;
    for (; now < Start + 60s; now += 10ms) {
        room.noteAsked("llm", "a", 1'000, now);
        room.noteWait("llm", now < Start + 5s ? 0 * Target : Target, Target, now);
        if (!room.refuse("llm", "a", 1'000, now))
            room.noteAdmitted("llm", "a", 1'000, now);
    }
    CHECK(room.standing("llm", "a", now).admittedPerSecond > 20'000);
}

TEST_CASE("the capacity is divided by the teams' weights")
{
    TeamRoom room;
    room.setWeights({{"a", 3}, {"b", 1}});
    const auto now = overload(room, {{"a", 2'000}, {"b", 2'000}}, 2'000);
    const auto a = room.standing("llm", "a", now);
    const auto b = room.standing("llm", "b", now);
    CHECK(a.sharePerSecond == Approx(3 * b.sharePerSecond).epsilon(0.01));
    CHECK(room.use("llm", "c", now) == 0);
    // A team without a weight gets the least one.
    room.noteAsked("llm", "c", 1'000'000, now);
    const auto later = now + 200ms;
    CHECK(room.standing("llm", "c", later).sharePerSecond
          == Approx(room.standing("llm", "b", later).sharePerSecond));
}

TEST_CASE("reports of other instances count until they are too old")
{
    TeamRoom room;
    TeamRoom sender;
    sender.noteAsked("llm", "a", 6'000, Start);
    room.noteAsked("llm", "a", 6'000, Start);
    const auto rates = sender.ownRates(128, Start);
    REQUIRE(rates.size() == 1);
    CHECK(rates[0].askedPerSecond == Approx(12'517).epsilon(0.001));
    room.setReported(rates, Start);
    CHECK(room.standing("llm", "a", Start).askedPerSecond == Approx(2 * rates[0].askedPerSecond));
    CHECK(room.standing("llm", "a", Start + 1s).reportAge == 1s);
    CHECK_FALSE(room.standing("llm", "a", Start + 6s).reportAge);
    CHECK(room.standing("llm", "a", Start + 6s).askedPerSecond < 1'000);
    CHECK(sender.ownRates(0, Start).empty());
}
