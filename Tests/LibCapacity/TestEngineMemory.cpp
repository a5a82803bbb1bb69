#include <LibCapacity/EngineMemory.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <random>
#include <vector>

using Capacity::EngineMemory;
using Capacity::MemoryVerdict;
using Capacity::Milliseconds;

namespace {

constexpr std::uint64_t Capacity200 = 200'000;

} // namespace

TEST_CASE("a prompt is sent up to the usable share of an engine's memory")
{
    const EngineMemory memory;
    const auto verdict = [&](std::uint64_t held, std::uint64_t tokens, bool isOtherPossible) {
        return memory.decide({held, Capacity200}, {tokens, tokens}, isOtherPossible).verdict;
    };
    CHECK(verdict(180'000, 10'000, true) == MemoryVerdict::Send);
    CHECK(verdict(180'001, 10'000, true) == MemoryVerdict::ChooseAnother);
    CHECK(verdict(180'001, 10'000, false) == MemoryVerdict::Wait);
    // Reports that are too high must not make the difference wrap around.
    CHECK(verdict(900'000, 10'000, false) == MemoryVerdict::Wait);
    // Only an empty engine has room for the largest prompts, and some for none.
    CHECK(verdict(0, 200'000, false) == MemoryVerdict::Send);
    CHECK(verdict(1, 200'000, false) == MemoryVerdict::Wait);
    CHECK(verdict(0, 200'001, false) == MemoryVerdict::Never);
    CHECK(verdict(0, 200'001, true) == MemoryVerdict::ChooseAnother);
    // The memory of the engines is unknown.
    CHECK(memory.decide({900'000, 0}, {900'000, 900'000}, false).verdict == MemoryVerdict::Send);
}

TEST_CASE("the expected wait for memory follows the time that answers occupy it")
{
    EngineMemory memory;
    // Three seconds are expected at first. A tenth of the contents exceeds the usable share.
    const auto wait = [&] { return memory.expectedWait({190'000, Capacity200}, {10'000, 19'000}); };
    CHECK(wait().count() == Approx(300));
    for (int n = 0; n < 200; ++n)
        memory.noteAnswer(10'000, Milliseconds(1'000));
    CHECK(wait().count() == Approx(100).margin(2));
    // Small answers and those without tokens say little about the memory.
    for (int n = 0; n < 20; ++n) {
        memory.noteAnswer(0, Milliseconds(60'000));
        memory.noteAnswer(10, Milliseconds(10'000));
    }
    CHECK(wait().count() < 120);
    CHECK(memory.expectedWait({0, Capacity200}, {10'000, 10'000}).count() == 0);
    // All contents have to end first.
    CHECK(memory.expectedWait({50'000, Capacity200}, {199'000, 199'000}) == memory.turnover());
}

namespace {

/// Instances that choose among engines by the contents as of some time ago, and ask the keeper of
/// the chosen engine's queue for the present ones.
class Simulation
{
public:
    Simulation(unsigned instances, bool isAsking)
        : m_isAsking(isAsking)
        , m_views(instances, std::vector<std::uint64_t>(Engines))
    { }

    void run()
    {
        for (m_now = 0; m_now < Duration; ++m_now) {
            endAnswers();
            for (std::size_t n = 0; n < m_views.size(); ++n) {
                if ((m_now + n) % ReportAge == 0)
                    m_views[n] = m_held;
            }
            // Arrivals in bursts, at about twice the rate that the engines' memory allows.
            for (int n = m_now % 50 == 0 ? 20 : 0; n > 0; --n)
                place(m_views[m_random() % m_views.size()]);
        }
    }

    std::uint64_t mostHeld = 0;
    unsigned sent = 0;
    unsigned refused = 0;

private:
    static constexpr int Engines = 60;
    static constexpr int Duration = 20'000;
    // The age of reports of other data centres, in milliseconds.
    static constexpr std::size_t ReportAge = 800;
    static constexpr int MaxQueries = 3;

    void endAnswers()
    {
        for (const auto &[engine, tokens] : m_ends[m_now])
            m_held[engine] -= tokens;
        m_ends.erase(m_now);
    }

    void place(std::vector<std::uint64_t> &view)
    {
        const std::uint64_t tokens = 2'000 + m_random() % 20'000;
        for (int query = 0; query < MaxQueries; ++query) {
            const auto engine =
                static_cast<std::size_t>(std::min_element(view.begin(), view.end()) - view.begin());
            if (m_isAsking)
                view[engine] = m_held[engine];
            const auto decision = m_memory.decide({view[engine], Capacity200}, {tokens, tokens},
                                                  query + 1 < MaxQueries);
            if (decision.verdict != MemoryVerdict::Send)
                continue;
            view[engine] += tokens;
            m_held[engine] += tokens;
            mostHeld = std::max(mostHeld, m_held[engine]);
            m_ends[m_now + 500 + static_cast<int>(m_random() % 9'000)].push_back({engine, tokens});
            ++sent;
            return;
        }
        ++refused;
    }

    bool m_isAsking;
    int m_now = 0;
    EngineMemory m_memory;
    std::minstd_rand m_random {7};
    std::vector<std::uint64_t> m_held = std::vector<std::uint64_t>(Engines);
    std::vector<std::vector<std::uint64_t>> m_views;
    std::map<int, std::vector<std::pair<std::size_t, std::uint64_t>>> m_ends;
};

} // namespace

TEST_CASE("with stale reports, no engine is sent more than its memory by 3 to 300 instances")
{
    for (const unsigned instances : {3U, 80U, 300U}) {
        Simulation simulation(instances, true);
        simulation.run();
        INFO(instances << " instances sent " << simulation.sent << " and refused "
                       << simulation.refused << ", most held " << simulation.mostHeld);
        CHECK(simulation.mostHeld <= 190'000);
        // The memory is used, and the load is one that exceeds it.
        CHECK(simulation.mostHeld > 180'000);
        CHECK(simulation.refused > simulation.sent / 10);
    }
    // The load is one that the reports alone do not keep within the memory.
    Simulation simulation(300, false);
    simulation.run();
    CHECK(simulation.mostHeld > Capacity200);
}
