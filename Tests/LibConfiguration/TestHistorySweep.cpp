#include <LibConfiguration/ConfigurationHistory.h>
#include <LibConfiguration/SampleDocuments.h>
#include <LibCore/ManualClock.h>
#include <LibPlatform/InMemoryLog.h>

#include <catch2/catch.hpp>

#include <map>
#include <random>

using namespace std::chrono_literals;
using Configuration::ConfigurationHistory;
using Configuration::ConfigurationRecord;
using Configuration::Generation;

namespace {

constexpr const char *Environment = "trial";
constexpr const char *Stream = "configuration.trial";
constexpr auto Retention = 10s;
constexpr auto RenewalInterval = 2s;
constexpr std::size_t Instances = 8;
constexpr std::size_t Operators = 3;
constexpr int Steps = 250;

/// Simulates concurrent operators, lagging, disconnected and restarting instances, and records that
/// expire.
class Sweep
{
public:
    explicit Sweep(std::uint64_t seed)
        : m_random(seed)
    {
        for (std::size_t n = 0; n < Instances + Operators; ++n)
            m_readers.emplace_back(Environment);
    }

    void run()
    {
        for (int n = 0; n < Steps; ++n)
            step();
        for (auto &it : m_readers)
            readToEnd(it);
        renewAndSettle();
    }

    std::size_t gaps() const { return m_gaps; }
    Generation generations() const { return m_reference.current()->generation; }

private:
    std::size_t randomBelow(std::size_t bound) { return m_random() % bound; }

    void step()
    {
        m_clock.advance(std::chrono::milliseconds(randomBelow(400)));
        // Disconnects one instance for longer than the retention of the log.
        if (randomBelow(60) == 0) {
            m_disconnectedInstance = randomBelow(Instances);
            m_disconnectedUntil = m_clock.now() + 15s;
        }
        switch (randomBelow(8)) {
        case 0:
            prepare(randomBelow(Operators));
            break;
        case 1:
            appendPrepared();
            break;
        case 2:
            m_log.append(Stream, "garbage");
            followReference();
            break;
        case 3:
            m_readers[randomBelow(Instances)] = ConfigurationHistory(Environment);
            break;
        case 4:
            prepareRenewal(randomBelow(Instances));
            break;
        default:
            readSome(randomBelow(m_readers.size()));
        }
    }

    /// Lets an operator edit the document that it has read. The record is appended later: once,
    /// several times or never.
    void prepare(std::size_t index)
    {
        auto &reader = m_readers[Instances + index];
        if (randomBelow(2) == 0)
            readToEnd(reader);
        const auto &base = *reader.current();
        const auto number = static_cast<unsigned>(m_serial++);
        const auto text = randomBelow(4) == 0 ? invalidDocument(number) : sampleDocument(number);
        m_prepared.push_back(
            samplePublication(base.generation, base.bytes, text, std::to_string(number)));
    }

    void prepareRenewal(std::size_t index)
    {
        auto &reader = m_readers[index];
        if (isDisconnected(index))
            return;
        if (randomBelow(3) != 0)
            readToEnd(reader);
        const auto due = reader.renewalTime(std::to_string(index), RenewalInterval);
        if (!due || m_clock.wallNow() < *due)
            return;
        m_prepared.push_back(reader.renewal(std::to_string(index)));
        if (randomBelow(4) != 0)
            appendPrepared();
    }

    void appendPrepared()
    {
        if (m_prepared.empty())
            return;
        const auto at =
            randomBelow(2) == 0 ? m_prepared.size() - 1 : randomBelow(m_prepared.size());
        m_log.append(Stream, encodeRecord(Environment, m_prepared[at]));
        if (randomBelow(4) != 0)
            m_prepared.erase(m_prepared.begin() + static_cast<std::ptrdiff_t>(at));
        followReference();
    }

    /// The reference reads each record immediately and so never has a gap.
    void followReference()
    {
        for (const auto &it :
             m_reference.processPage(m_log.read(Stream, m_reference.nextOffset(), 1'000))) {
            if (it.version)
                m_accepted[it.generation] = it.version->digest;
        }
        REQUIRE(m_reference.isAnchored());
    }

    bool isDisconnected(std::size_t index) const
    {
        return index == m_disconnectedInstance && m_clock.now() < m_disconnectedUntil;
    }

    void readSome(std::size_t index)
    {
        if (!isDisconnected(index))
            readPage(m_readers[index], 1 + randomBelow(5));
    }

    void readToEnd(ConfigurationHistory &reader)
    {
        while (reader.nextOffset() < m_log.read(Stream, 0, 0).next)
            readPage(reader, 1 + randomBelow(20));
    }

    void readPage(ConfigurationHistory &reader, std::size_t limit)
    {
        const auto before = reader.current()->generation;
        const auto page = m_log.read(Stream, reader.nextOffset(), limit);
        m_gaps += page.first > reader.nextOffset() ? 1 : 0;
        reader.processPage(page);
        const auto &now = *reader.current();
        REQUIRE(now.generation >= before);
        REQUIRE((now.generation == 0 || m_accepted.at(now.generation) == now.digest));
        if (reader.isAnchored() && reader.nextOffset() == page.next)
            REQUIRE(now.generation == m_reference.current()->generation);
    }

    /// A renewal by a reader with the current state lets every reader restore that state.
    void renewAndSettle()
    {
        m_log.append(Stream, encodeRecord(Environment, m_reference.renewal("reference")));
        followReference();
        for (auto &it : m_readers) {
            readToEnd(it);
            REQUIRE((it.isAnchored() || m_reference.current()->generation == 0));
            REQUIRE(it.current()->digest == m_reference.current()->digest);
        }
    }

    std::mt19937_64 m_random;
    Core::ManualClock m_clock;
    Platform::InMemoryLog m_log {m_clock, Retention};
    ConfigurationHistory m_reference {Environment};
    std::vector<ConfigurationHistory> m_readers;
    std::vector<ConfigurationRecord> m_prepared;
    std::map<Generation, std::string> m_accepted;
    std::size_t m_disconnectedInstance = 0;
    Core::Clock::Monotonic m_disconnectedUntil {};
    std::size_t m_serial = 0;
    std::size_t m_gaps = 0;
};

} // namespace

TEST_CASE("all readers agree and no generation decreases, over seeded histories")
{
    constexpr std::uint64_t Seeds = 300;
    std::size_t gaps = 0;
    Generation generations = 0;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        INFO("seed " << seed);
        Sweep sweep(seed);
        sweep.run();
        gaps += sweep.gaps();
        generations += sweep.generations();
    }
    // The test is meaningful only if gaps and publications occurred.
    CHECK(gaps > Seeds);
    CHECK(generations > Seeds);
}
