#include "Roles.h"

#include <LibClaims/ClaimCodec.h>
#include <LibClaims/ClaimSettings.h>
#include <LibClaims/ClaimWriter.h>
#include <LibClaims/ClaimWriterSelection.h>
#include <LibCore/ManualClock.h>

#include <memory>
#include <random>

using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t Seed = 1;
constexpr std::size_t Partitions = 4;
constexpr auto Step = 1ms;
constexpr auto AppendTime = 5ms;
constexpr auto RunTime = 5s;

/// Appends the claims of a whole fleet, either by each node or by one writer per partition.
class AppendRun
{
public:
    AppendRun(std::size_t nodes, bool relayed)
        : m_rng(Seed)
        , m_relayed(relayed)
    {
        std::vector<Core::InstanceId> live;
        for (std::size_t n = 0; n < nodes; ++n) {
            live.emplace_back("entry-" + std::to_string(n));
            m_writers.push_back(std::make_unique<Claims::ClaimWriter>(Claims::BatchSettings {},
                                                                      Partitions, m_counters));
        }
        for (std::size_t n = 0; n < Partitions; ++n) {
            const auto chosen = Claims::selectClaimWriters(n, live, 1).front();
            const auto it = std::find(live.begin(), live.end(), chosen);
            m_chosenWriters.push_back(static_cast<std::size_t>(std::distance(live.begin(), it)));
        }
    }

    /// Returns the appends per second, the records per append and the mean time until a claim is in
    /// the log.
    std::vector<std::string> run(double claimsPerSecond)
    {
        const double perStep = claimsPerSecond * std::chrono::duration<double>(Step).count();
        std::poisson_distribution<int> arrivals(perStep);
        for (const auto end = m_clock.now() + RunTime; m_clock.now() < end;) {
            m_clock.advance(Step);
            for (int n = arrivals(m_rng); n > 0; --n)
                claim();
            finishAppends();
            startAppends();
        }
        const auto seconds = std::chrono::duration<double>(RunTime).count();
        const auto committed = static_cast<double>(m_committed);
        return {formatNumber(static_cast<double>(m_appends) / seconds),
                formatNumber(committed / static_cast<double>(m_appends)),
                formatNumber(m_totalWait.count() / committed * 1e3),
                formatNumber(1 - committed / static_cast<double>(m_claimed.size()))};
    }

private:
    struct Append
    {
        std::size_t writer;
        Claims::AppendBatch batch;
        Core::Clock::Monotonic doneAt;
    };

    void claim()
    {
        const auto number = m_claimed.size();
        const auto node = m_rng() % m_writers.size();
        const auto partition = m_rng() % Partitions;
        Claims::ClaimRecord record;
        record.key = {Core::TeamId("team-" + std::to_string(number % 10'000)),
                      "order-" + std::to_string(number), Claims::IssueTime(1'700'000'000s)};
        record.attempt = {node, number};
        record.holder = {Core::InstanceId("entry-" + std::to_string(node)), 1};
        m_claimed.push_back(m_clock.now());
        const auto writer = m_relayed ? m_chosenWriters[partition] : node;
        m_writers[writer]->enqueue(partition, std::move(record), m_clock.now());
    }

    void startAppends()
    {
        for (std::size_t n = 0; n < m_writers.size(); ++n) {
            for (auto &batch : m_writers[n]->poll(m_clock.now())) {
                ++m_appends;
                m_running.push_back({n, std::move(batch), m_clock.now() + AppendTime});
            }
        }
    }

    void finishAppends()
    {
        const auto now = m_clock.now();
        std::erase_if(m_running, [&](const Append &append) {
            if (append.doneAt > now)
                return false;
            m_writers[append.writer]->onResult(append.batch.id, true, now);
            const auto records = Claims::decodeBatch(append.batch.data);
            for (const auto &record : *records) {
                m_totalWait += now - m_claimed[record.attempt.sequence];
                ++m_committed;
            }
            return true;
        });
    }

    Core::ManualClock m_clock;
    std::mt19937_64 m_rng;
    bool m_relayed;
    Claims::ClaimCounters m_counters;
    std::vector<std::unique_ptr<Claims::ClaimWriter>> m_writers;
    std::vector<std::size_t> m_chosenWriters;
    std::vector<Core::Clock::Monotonic> m_claimed;
    std::vector<Append> m_running;
    std::uint64_t m_appends = 0;
    std::uint64_t m_committed = 0;
    std::chrono::duration<double> m_totalWait {0};
};

} // namespace

std::vector<Table> measureAppends(Extent extent)
{
    std::vector<std::size_t> sizes {1, 8, 340};
    std::vector<double> rates {10, 75, 750, 7'500};
    if (extent == Extent::Quick) {
        sizes = {8};
        rates = {75, 750};
    }
    Table table {"Appends of claims by the whole fleet, an append taking 5 ms",
                 {"nodes", "writers", "claims/s", "appends/s", "claims an append",
                  "ms until a claim is in the log", "share still waiting at the end"},
                 {}};
    for (const auto nodes : sizes) {
        for (const bool relayed : {false, true}) {
            for (const auto rate : rates) {
                std::vector<std::string> row {std::to_string(nodes),
                                              relayed ? "one a partition" : "every node",
                                              formatNumber(rate)};
                for (auto &cell : AppendRun(nodes, relayed).run(rate))
                    row.push_back(std::move(cell));
                table.rows.push_back(std::move(row));
            }
        }
    }
    return {table};
}
