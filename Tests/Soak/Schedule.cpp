#include "Schedule.h"

#include <algorithm>
#include <array>

namespace Soak {

using namespace std::chrono_literals;

namespace {

constexpr auto WarmUp = 4'000ms;
constexpr auto CoolDown = 4'000ms;

constexpr std::array Names {"terminate",
                            "kill",
                            "reload",
                            "freeze",
                            "signal at start",
                            "add instance",
                            "store refuses",
                            "store silent",
                            "store resets",
                            "store slow",
                            "store loses answers",
                            "store fails once",
                            "drain",
                            "remove",
                            "crash",
                            "release",
                            "failures",
                            "full",
                            "odd entry",
                            "change routes",
                            "revoke key"};

/// Draws troubles, alone or in series.
class Planner
{
public:
    Planner(std::uint64_t seed, unsigned instances)
        : m_dice(seed)
        , m_instances(instances)
        , m_theme(seed % Themes)
    { }

    void planNext(Time at)
    {
        // Each run has a theme, so that troubles of one sort meet more often.
        if (m_dice.chance(0.4))
            return planAny(at);
        switch (m_theme) {
        case 0:
            return m_dice.chance(0.5) ? planFailedReads(at) : planDeparture(at);
        case 1:
            return m_dice.chance(0.3) ? fullWithRestarts(at) : planFailures(at);
        case 2:
            return m_dice.chance(0.5) ? planSignalAtStart(at) : roll(at);
        default:
            return planAny(at);
        }
    }

    std::vector<Step> steps;

private:
    void planAny(Time at)
    {
        switch (m_dice.between(0, 14)) {
        case 0:
            return add(at, Trouble::Terminate, any());
        case 1:
            return add(at, Trouble::Kill, any());
        case 2:
            return add(at, Trouble::Reload, any());
        case 3:
            return add(at, Trouble::Freeze, any(), m_dice.time(500, 5'000));
        case 4:
            return planSignalAtStart(at);
        case 5:
            return m_dice.chance(0.3) ? add(at, Trouble::AddInstance) : herd(at);
        case 6:
            return roll(at);
        case 7:
            return restarts(at);
        case 8:
            return store(at);
        case 9:
            return planFailedReads(at);
        case 10:
            return planDeparture(at);
        case 11:
            return planFailures(at);
        case 12:
            return fullWithRestarts(at);
        case 13:
            return add(at, Trouble::OddEntry, any());
        default:
            return add(at, m_dice.chance(0.5) ? Trouble::ChangeRoutes : Trouble::RevokeKey);
        }
    }
    unsigned any() { return static_cast<unsigned>(m_dice.between(0, 999)); }
    unsigned form(int count) { return static_cast<unsigned>(m_dice.between(0, count - 1)); }

    void add(Time at, Trouble trouble, unsigned target = 0, Time time = 0ms, unsigned form = 0)
    {
        steps.push_back({at, trouble, target, time, form});
    }
    void herd(Time at)
    {
        for (unsigned n = 0; n < m_instances; ++n) {
            if (m_dice.chance(0.8))
                add(at, Trouble::Kill, n);
        }
    }
    void roll(Time at)
    {
        const auto interval = m_dice.time(300, 3'000);
        for (unsigned n = 0; n < m_instances; ++n)
            add(at + n * interval, m_dice.chance(0.8) ? Trouble::Terminate : Trouble::Kill, n);
    }
    void restarts(Time at)
    {
        const auto target = any();
        for (auto left = m_dice.between(3, 8); left > 0; --left) {
            const auto trouble = m_dice.chance(0.7) ? Trouble::Kill : Trouble::SignalAtStart;
            add(at, trouble, target, m_dice.time(0, 100), form(2));
            at += m_dice.time(200, 1'500);
        }
    }
    void store(Time at)
    {
        static constexpr std::array Forms {Trouble::StoreRefuses, Trouble::StoreSilent,
                                           Trouble::StoreResets, Trouble::StoreSlow,
                                           Trouble::StoreLosesAnswers};
        add(at, Forms.at(form(Forms.size())), any(), m_dice.time(300, 5'000), form(4));
    }
    void planSignalAtStart(Time at)
    {
        add(at, Trouble::SignalAtStart, any(), m_dice.time(0, 20), form(2));
    }
    void planDeparture(Time at)
    {
        switch (m_dice.between(0, 3)) {
        case 0:
            return add(at, Trouble::Drain, any(), m_dice.time(2'200, 8'000));
        case 1:
            return add(at, Trouble::Remove, any(), m_dice.time(2'200, 8'000));
        case 2:
            return add(at, Trouble::Crash, any(), m_dice.time(300, 3'000));
        default:
            return add(at, Trouble::Release, form(2));
        }
    }
    void planFailures(Time at)
    {
        add(at, Trouble::Failures, form(2), m_dice.time(3'000, 10'000), form(8));
    }
    /// Single failed calls, and upstreams that leave soon after.
    void planFailedReads(Time at)
    {
        for (auto left = m_dice.between(1, 4); left > 0; --left) {
            add(at, Trouble::StoreFailsOnce, any(), 0ms, form(3));
            at += m_dice.time(0, 1'000);
        }
        for (auto left = m_dice.between(1, 3); left > 0; --left)
            add(at, m_dice.chance(0.7) ? Trouble::Remove : Trouble::Drain, any(),
                m_dice.time(3'000, 8'000));
    }
    /// Upstreams that reject most requests while instances restart one after the other.
    void fullWithRestarts(Time at)
    {
        const auto time = m_dice.time(6'000, 12'000);
        add(at, Trouble::Full, form(2), time);
        const auto pause = m_dice.time(200, 1'500);
        for (auto next = at + 500ms; next < at + time; next += pause)
            add(next, Trouble::Kill, any());
    }

    static constexpr unsigned Themes = 4;

    Dice m_dice;
    unsigned m_instances;
    std::uint64_t m_theme;
};

} // namespace

std::string nameOf(Trouble trouble)
{
    return Names.at(static_cast<std::size_t>(trouble));
}

std::vector<Step> makeSchedule(std::uint64_t seed, Time length, unsigned instances)
{
    Planner planner(seed, instances);
    Dice pauses(seed + 1);
    for (Time at = WarmUp; at < length - CoolDown; at += pauses.time(100, 1'500))
        planner.planNext(at);
    auto steps = std::move(planner.steps);
    std::erase_if(steps, [&](const auto &step) { return step.at > length - CoolDown; });
    std::stable_sort(steps.begin(), steps.end(),
                     [](const auto &a, const auto &b) { return a.at < b.at; });
    return steps;
}

} // namespace Soak
