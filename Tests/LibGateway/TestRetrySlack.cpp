#include <LibCore/Error.h>
#include <LibCore/ManualClock.h>
#include <LibGateway/FleetJournal.h>
#include <LibGateway/RetryBudgetShare.h>
#include <LibGateway/RetrySlack.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace asio = boost::asio;
using namespace std::chrono_literals;
using Core::Clock;

namespace {

constexpr Gateway::RetryBudgetLimits Limits {0.2, 52, 10s};
constexpr auto Step = 100ms;

struct StoredRecord
{
    Clock::Monotonic time;
    std::string value;
};

/// The journal as one instance reaches it.
class ReachedJournal final : public Gateway::FleetLog
{
public:
    ReachedJournal(std::vector<StoredRecord> &records, const Clock &clock)
        : m_records(records)
        , m_clock(clock)
    { }

    asio::awaitable<Gateway::FleetPage> newest(Gateway::FleetTopic) override
    {
        co_return Gateway::FleetPage();
    }

    asio::awaitable<Gateway::FleetPage> read(Gateway::FleetTopic, Gateway::LogPosition from,
                                             std::chrono::milliseconds) override
    {
        if (isCut)
            throw Core::Error(Core::ErrorKind::PlatformUnavailable, "cut off");
        constexpr std::size_t RecordsPerPage = 50;
        Gateway::FleetPage page;
        page.asOf = m_clock.now() - delay;
        auto next = from.offset();
        while (next < m_records.size() && m_records[next].time <= page.asOf
               && page.records.size() < RecordsPerPage) {
            page.records.push_back({next, {}, m_records[next].value});
            ++next;
        }
        page.next = next;
        page.isComplete = next == m_records.size() || m_records[next].time > page.asOf;
        co_return page;
    }

    asio::awaitable<Gateway::AppendOutcome> append(Gateway::FleetTopic, std::string value,
                                                   std::optional<Gateway::LogPosition>) override
    {
        if (isCut)
            throw Core::Error(Core::ErrorKind::PlatformUnavailable, "cut off");
        if (!failsAppends)
            m_records.push_back({m_clock.now(), std::move(value)});
        if (losesAnswers || failsAppends)
            throw Core::Error(Core::ErrorKind::PlatformUnavailable, "no answer");
        co_return Gateway::AppendOutcome {true, m_records.size() - 1};
    }

    bool isCut = false;
    bool losesAnswers = false;
    bool failsAppends = false;
    /// How late records are read.
    std::chrono::milliseconds delay = 0ms;

private:
    std::vector<StoredRecord> &m_records;
    const Clock &m_clock;
};

/// One process of an instance, whose upstreams fail every request.
struct Process
{
    Process(const std::string &name, std::vector<StoredRecord> &records, const Clock &clock)
        : members({Core::InstanceId(name), "a", Http::parseEndpoint("10.0.0.1:7000").value()},
                  clock)
        , log(records, clock)
    {
        settings.instance = Core::InstanceId(name);
        settings.retries = Limits;
        journal = std::make_unique<Gateway::FleetJournal>(log, clock, settings, poison, members);
        journal->onAnnounced = [this, &clock](Clock::Monotonic writtenAfter) {
            slack.noteAnnounced(writtenAfter, Limits.window, clock.now());
        };
        journal->onFirstRecord = [this, &clock] { slack.noteFirst(Limits.window, clock.now()); };
        journal->onRead = [this, &clock](Clock::Monotonic asOf) {
            slack.noteJournalRead(asOf, static_cast<unsigned>(members.count()), Limits.window,
                                  clock.now());
        };
    }

    Gateway::GatewaySettings settings;
    Gateway::PoisonTable poison;
    Gateway::FleetMembers members;
    ReachedJournal log;
    std::unique_ptr<Gateway::FleetJournal> journal;
    Gateway::RetrySlack slack;
    Gateway::RetryBudgetShare share;
    Clock::Monotonic frozenUntil = Clock::Monotonic::min();
};

/// Instances that repeat as much as they may, and what their upstreams see.
class RetryingFleet
{
public:
    explicit RetryingFleet(unsigned seed)
        : random(seed)
    {
        m_clock.advance(1h + 370ms);
    }

    void start(std::size_t count)
    {
        for (std::size_t n = 0; n < count; ++n)
            processes.push_back(makeProcess("edge-" + std::to_string(processes.size())));
    }

    std::unique_ptr<Process> makeProcess(const std::string &name)
    {
        return std::make_unique<Process>(name, m_records, m_clock);
    }

    /// Kills the process and starts another one of the same name, which is not cut off.
    void restart(std::size_t index)
    {
        const auto name = processes[index]->settings.instance.value();
        processes[index] = makeProcess(name);
    }

    void freeze(std::size_t index, std::chrono::milliseconds time)
    {
        processes[index]->frozenUntil = m_clock.now() + time;
    }

    void cut(std::size_t begin, std::size_t end, bool isCut = true)
    {
        for (auto n = begin; n < end; ++n)
            processes[n]->log.isCut = isCut;
    }

    /// Writes a record to the journal.
    void write(std::string record) { m_records.push_back({m_clock.now(), std::move(record)}); }

    /// Returns the part of the slack that the process may use now.
    double part(std::size_t index) const
    {
        return processes[index]->slack.part(Limits.window, m_clock.now());
    }

    /// Runs for the given time and checks each window that ends in it.
    void run(std::chrono::milliseconds time)
    {
        for (auto passed = 0ms; passed < time; passed += Step) {
            m_clock.advance(Step);
            ++m_steps;
            for (std::size_t n = 0; n < processes.size(); ++n) {
                if (processes[n]->frozenUntil <= m_clock.now())
                    step(*processes[n], n);
            }
            checkWindow();
        }
    }

    /// Returns whether the slack is used again, and no more than it, in the windows of a quiet
    /// time.
    bool recovers()
    {
        run(20s);
        const auto before = std::exchange(greatestUse, 0);
        run(20s);
        return before <= 1 && greatestUse <= 1 && greatestUse >= 0.5;
    }

    std::mt19937 random;
    std::vector<std::unique_ptr<Process>> processes;
    unsigned requestsPerSecond = 0;
    /// The greatest number of repeats in a window, without those that its requests allow, as a
    /// share of the slack.
    double greatestUse = 0;

private:
    void complete(asio::awaitable<void> call)
    {
        asio::co_spawn(m_context, std::move(call), asio::detached);
        m_context.restart();
        m_context.run();
    }

    void step(Process &process, std::size_t index)
    {
        process.members.dropExpired();
        constexpr unsigned StepsPerRead = 10;
        if ((m_steps + index) % StepsPerRead == 0) {
            complete([](Process &process) -> asio::awaitable<void> {
                if (!process.log.isCut && process.journal->isAnnouncementDue())
                    co_await process.journal->announceOnce();
                try {
                    do
                        co_await process.journal->readOnce(0ms);
                    while (!process.journal->hasRead());
                } catch (const Core::Error &) { }
            }(process));
        }
        const auto now = m_clock.now();
        if (random() % 10 < requestsPerSecond) {
            process.share.noteRequest(now);
            m_requests.push_back(now);
        }
        while (process.share.tryRepeat(Limits, process.slack.part(Limits.window, now), now))
            m_repeats.push_back(now);
    }

    void checkWindow()
    {
        const auto begin = m_clock.now() - Limits.window;
        for (auto *times : {&m_requests, &m_repeats}) {
            while (!times->empty() && times->front() <= begin)
                times->pop_front();
        }
        const auto beyondRatio = static_cast<double>(m_repeats.size())
                                 - Limits.ratio * static_cast<double>(m_requests.size());
        greatestUse = std::max(greatestUse, beyondRatio / Limits.slack);
    }

    Core::ManualClock m_clock;
    asio::io_context m_context;
    std::vector<StoredRecord> m_records;
    std::deque<Clock::Monotonic> m_requests;
    std::deque<Clock::Monotonic> m_repeats;
    unsigned m_steps = 0;
};

} // namespace

TEST_CASE("an instance has no part of the slack until its announcement has stood for a window")
{
    RetryingFleet fleet(1);
    fleet.start(1);
    fleet.run(2s);
    fleet.start(1);
    fleet.run(5s);
    CHECK(fleet.part(1) == 0);
    fleet.run(15s);
    CHECK(fleet.part(1) > 0);
    fleet.restart(0);
    fleet.run(5s);
    CHECK(fleet.part(0) == 0);
    fleet.restart(0);
    auto &log = fleet.processes[0]->log;
    SECTION("that of the process before it is no reason")
    {
        log.failsAppends = true;
        fleet.run(60s);
        CHECK(fleet.part(0) == 0);
    }
    SECTION("it was written although the append got no answer")
    {
        log.losesAnswers = true;
        fleet.run(5s);
        CHECK(fleet.part(0) == 0);
        fleet.run(25s);
        CHECK(fleet.part(0) > 0);
    }
}

TEST_CASE("the first instance of a new fleet has its part of the slack at once")
{
    RetryingFleet fleet(1);
    fleet.start(1);
    fleet.run(2s);
    CHECK(fleet.part(0) == 1);
    fleet.start(7);
    fleet.run(40s);
    CHECK(fleet.recovers());
}

TEST_CASE("an announcement of a hub for all does not delay the slack of a first start")
{
    RetryingFleet fleet(1);
    fleet.write("a record of another instance");
    fleet.start(1);
    fleet.run(1s);
    const auto hub = fleet.makeProcess("hub");
    for (int n = 0; n < 20; ++n)
        hub->members.noteDatagram(
            {Core::InstanceId("edge-" + std::to_string(n)), "a", hub->members.self().endpoint});
    for (int second = 0; second < 11; ++second) {
        fleet.write(hub->journal->announcementForAll());
        fleet.run(1s);
    }
    CHECK(fleet.processes[0]->members.count() == 21);
    CHECK(fleet.part(0) > 0);
}

TEST_CASE("instances that start at once and are restarted in series use the slack only once")
{
    for (unsigned seed = 1; seed <= 20; ++seed) {
        RetryingFleet fleet(seed);
        fleet.start(8);
        fleet.run(30s);
        for (int n = 0; n < 60; ++n) {
            fleet.restart(fleet.random() % 8);
            fleet.run(std::chrono::milliseconds(fleet.random() % 1'500));
        }
        CHECK(fleet.greatestUse <= 1);
        CHECK(fleet.recovers());
    }
}

TEST_CASE("instances that are cut off for longer than members are known use the slack only once")
{
    for (const auto cutTime : {30s, 55s, 65s, 90s}) {
        RetryingFleet fleet(1);
        fleet.start(8);
        fleet.run(30s);
        fleet.cut(0, 4);
        fleet.run(cutTime);
        CHECK(fleet.greatestUse <= 1);
        fleet.cut(0, 4, false);
        CHECK(fleet.recovers());
    }
}

TEST_CASE("instances that are frozen for longer than members are known use the slack only once")
{
    for (const auto time : {12s, 55s, 65s, 90s}) {
        RetryingFleet fleet(1);
        fleet.start(8);
        fleet.run(30s);
        for (std::size_t n = 0; n < 4; ++n)
            fleet.freeze(n, time + n * 1s);
        fleet.run(160s);
        CHECK(fleet.greatestUse <= 1);
    }
}

TEST_CASE("instances that join while the others are cut off or read late get only what is left")
{
    for (const std::size_t joining : {1U, 8U, 24U}) {
        for (const auto delay : {0s, 6s}) {
            RetryingFleet fleet(1);
            fleet.start(8);
            for (const auto &process : fleet.processes)
                process->log.delay = delay;
            fleet.run(30s);
            fleet.cut(0, delay > 0s ? 0 : 8);
            fleet.start(joining);
            fleet.run(60s);
            CHECK(fleet.greatestUse <= 1);
            fleet.cut(0, 8, false);
            CHECK(fleet.recovers());
        }
    }
}

TEST_CASE("the slack is used only once under restarts, joins, cuts, freezes and lost answers")
{
    for (unsigned seed = 1; seed <= 40; ++seed) {
        RetryingFleet fleet(seed);
        fleet.requestsPerSecond = seed % 3;
        fleet.start(4 + seed % 5);
        const auto chance = [&](unsigned percent) { return fleet.random() % 100 < percent; };
        for (int second = 0; second < 300; ++second) {
            const auto index = fleet.random() % fleet.processes.size();
            auto &log = fleet.processes[index]->log;
            if (chance(8))
                fleet.restart(index);
            else if (chance(3))
                fleet.freeze(index, std::chrono::milliseconds(fleet.random() % 80'000));
            else if (chance(10))
                log.isCut = !log.isCut;
            else if (chance(3))
                log.losesAnswers = !log.losesAnswers;
            else if (chance(10))
                log.delay = std::chrono::milliseconds(fleet.random() % 8'000);
            else if (second % 100 == 50)
                fleet.start(fleet.processes.size());
            fleet.run(1s);
        }
        INFO("seed " << seed);
        CHECK(fleet.greatestUse <= 1);
    }
}
