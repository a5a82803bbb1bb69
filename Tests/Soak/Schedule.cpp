#include "Schedule.h"

#include <algorithm>
#include <array>

namespace Soak {

using namespace std::chrono_literals;

namespace {

constexpr auto WarmUp = 4'000ms;
constexpr auto CoolDown = 4'000ms;

enum class Theme {
    FailedReads,
    Failures,
    Starts,
    Any,
    Departures,
    AdditionalAnswers,
    StopsUnderLoad,
    OldKnowledge
};
constexpr unsigned Themes = 8;

Theme themeOf(std::uint64_t seed)
{
    return static_cast<Theme>(seed % Themes);
}

constexpr std::array Names {"terminate",
                            "kill",
                            "reload",
                            "freeze",
                            "signal at start",
                            "hold ports",
                            "end log reader",
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
                            "name limit",
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
        , m_theme(themeOf(seed))
    { }

    void planNext(Time at)
    {
        // Each run has a theme, so that troubles of one sort meet more often.
        if (m_dice.chance(0.4))
            return planAny(at);
        switch (m_theme) {
        case Theme::FailedReads:
            return planFailedReads(at);
        case Theme::Failures:
            return m_dice.chance(0.3) ? fullWithRestarts(at) : planFailures(at);
        case Theme::Starts:
            return m_dice.chance(0.6) ? planStart(at) : roll(at);
        case Theme::Any:
            return planAny(at);
        case Theme::Departures:
            return m_dice.chance(0.3) ? planFailedReads(at) : planDeparture(at);
        case Theme::AdditionalAnswers:
            return add(at, Trouble::Failures, form(2), m_dice.time(2'000, 6'000),
                       AdditionalAnswers + form(AnswerForms - AdditionalAnswers));
        case Theme::StopsUnderLoad:
            return planStop(at);
        case Theme::OldKnowledge:
            return planOldKnowledge(at);
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
            return planStart(at);
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
    void planStart(Time at)
    {
        const auto target = any();
        if (m_dice.chance(0.2))
            add(at, Trouble::HoldPorts, target, m_dice.time(100, 2'000), form(3));
        else if (m_dice.chance(0.2))
            add(at, Trouble::EndLogReader, target, m_dice.time(0, 1'000));
        if (m_dice.chance(0.8))
            add(at, Trouble::SignalAtStart, target, m_dice.time(0, 20), form(2));
    }
    void planDeparture(Time at)
    {
        if (m_dice.chance(0.1))
            return add(at, Trouble::Release, form(2));
        if (m_dice.chance(0.3))
            return add(at, Trouble::Crash, any(), m_dice.time(300, 3'000), form(3));
        const auto trouble = m_dice.chance(0.5) ? Trouble::Drain : Trouble::Remove;
        add(at, trouble, any(), m_dice.time(3'000, 9'000), form(DepartureForms));
    }
    void planFailures(Time at)
    {
        add(at, Trouble::Failures, form(2), m_dice.time(3'000, 10'000), form(AnswerForms));
    }
    /// Single failed calls, mostly of those that read the list of upstreams, and upstreams that
    /// leave meanwhile.
    void planFailedReads(Time at)
    {
        for (auto left = m_dice.between(1, 4); left > 0; --left) {
            const auto caller = m_dice.chance(0.7) ? LastReader : form(CallerForms);
            add(at, Trouble::StoreFailsOnce, any(), 0ms, caller + CallerForms * form(CallFailures));
            at += m_dice.time(0, 1'200);
            if (m_dice.chance(0.6))
                add(at, m_dice.chance(0.7) ? Trouble::Remove : Trouble::Drain, any(),
                    m_dice.time(4'000, 8'000));
        }
    }
    /// Instances that stop while requests arrive at upstreams that are slow or failing.
    void planStop(Time at)
    {
        if (m_dice.chance(0.4))
            add(at, Trouble::Failures, form(2), m_dice.time(3'000, 10'000),
                SlowAnswers + form(AnswerForms - SlowAnswers));
        for (auto left = m_dice.between(1, 3); left > 0; --left) {
            if (m_dice.chance(0.3))
                add(at, m_dice.chance(0.7) ? Trouble::ChangeRoutes : Trouble::RevokeKey);
            add(at, m_dice.chance(0.7) ? Trouble::Terminate : Trouble::Reload, any());
            at += m_dice.time(0, 500);
        }
    }
    /// Keys and upstreams that go while instances are frozen or just before they start.
    void planOldKnowledge(Time at)
    {
        const auto change = m_dice.time(0, 1'000);
        const auto target = any();
        const bool freezes = m_dice.chance(0.5);
        if (freezes)
            add(at, Trouble::Freeze, target, m_dice.time(3'000, 8'000));
        if (m_dice.chance(0.7))
            add(at + change, Trouble::RevokeKey);
        if (m_dice.chance(0.7))
            add(at + change, m_dice.chance(0.5) ? Trouble::Remove : Trouble::Drain, any(),
                m_dice.time(6'000, 9'000), form(Returns));
        if (freezes)
            return;
        if (m_dice.chance(0.3))
            return herd(at + change + m_dice.time(0, 1'000));
        add(at + change + m_dice.time(0, 1'000), Trouble::Kill, target);
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

    // Forms of failures of upstreams, in the order of makeFaults().
    static constexpr unsigned AdditionalAnswers = 7;
    static constexpr unsigned SlowAnswers = 11;
    static constexpr unsigned AnswerForms = 14;

    Dice m_dice;
    unsigned m_instances;
    Theme m_theme;
};

void sortByTime(std::vector<Step> &steps)
{
    std::stable_sort(steps.begin(), steps.end(),
                     [](const auto &a, const auto &b) { return a.at < b.at; });
}

} // namespace

std::string nameOf(Trouble trouble)
{
    return Names.at(static_cast<std::size_t>(trouble));
}

Shape shapeOf(std::uint64_t seed, const Shape &most)
{
    // Small fleets have few or no siblings to ask, and large ones ask over several data centres.
    constexpr unsigned MostSmall = 3;
    constexpr unsigned UnderLoad = 3;
    auto shape = most;
    const auto round = static_cast<unsigned>(seed / Themes);
    if (themeOf(seed) == Theme::FailedReads && round % 2 == 0)
        shape.instances = std::min(most.instances, 1 + round / 2 % MostSmall);
    if (themeOf(seed) == Theme::StopsUnderLoad)
        shape.clients = UnderLoad * most.clients;
    shape.zones = 1 + round % most.zones;
    return shape;
}

std::vector<Step> makeSchedule(std::uint64_t seed, Time length, unsigned instances)
{
    Planner planner(seed, instances);
    Dice pauses(seed + 1);
    for (Time at = WarmUp; at < length - CoolDown; at += pauses.time(100, 1'500))
        planner.planNext(at);
    auto steps = std::move(planner.steps);
    std::erase_if(steps, [&](const auto &step) { return step.at > length - CoolDown; });
    sortByTime(steps);
    return steps;
}

void addLimits(std::vector<Step> &steps, std::uint64_t seed, Time length)
{
    // Other draws than those of the troubles.
    Dice dice(seed + 2);
    for (Time at = WarmUp; at < length - CoolDown; at += dice.time(1'000, 6'000)) {
        Step step;
        step.at = at;
        step.trouble = Trouble::NameLimit;
        step.target = static_cast<unsigned>(dice.between(0, 1));
        step.time = dice.time(4'000, 14'000);
        step.form = static_cast<unsigned>(dice.between(0, LimitForms - 1));
        steps.push_back(step);
    }
    sortByTime(steps);
}

} // namespace Soak
