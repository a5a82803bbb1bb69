#include "PoisonSimulation.h"

#include <algorithm>
#include <cmath>

using namespace std::chrono_literals;

namespace GatewayTests {

namespace {

constexpr auto Step = 10ms;
constexpr auto WarmUp = 10s;
constexpr auto Length = 40s;
constexpr unsigned Teams = 3;
constexpr std::uint64_t DeadlyPart = 1;
constexpr std::uint64_t DeadlyTeam = 1'000;
constexpr double LossShare = 0.1;
// Requests with a fixed digest; those of others are numbered from 1.
constexpr std::uint64_t FirstRepeated = 1'000'000'000'000;
constexpr std::uint64_t RepeatedCount = 3;
constexpr std::uint64_t PoisonRequest = 2'000'000'000'000;

} // namespace

PoisonSimulation::PoisonSimulation(PoisonShape shape)
    : m_shape(shape)
    , m_random(shape.seed)
    , m_engines(shape.engines)
    , m_instances(shape.instances)
{
    m_clock.advance(1h);
    m_begin = m_clock.now();
    for (auto &instance : m_instances)
        instance.table = std::make_unique<Gateway::PoisonTable>();
}

bool PoisonSimulation::happens(double perSecond)
{
    return uniform() < perSecond * std::chrono::duration<double>(Step).count();
}

std::uint64_t PoisonSimulation::zipf(std::uint64_t count)
{
    return static_cast<std::uint64_t>(std::pow(double(count), uniform()));
}

bool PoisonSimulation::isStarted() const
{
    return m_clock.now() >= m_begin + WarmUp;
}

PoisonOutcome PoisonSimulation::run()
{
    for (unsigned n = 0; m_clock.now() < m_begin + Length; ++n) {
        step();
        if (n % 10 == 0)
            exchange();
        m_clock.advance(Step);
    }
    if (m_soundAsked)
        m_outcome.soundShare = double(m_soundTaken) / m_soundAsked;
    if (m_repeatedAsked)
        m_outcome.repeatedShare = double(m_repeatedTaken) / m_repeatedAsked;
    return m_outcome;
}

void PoisonSimulation::step()
{
    while (!m_underWay.empty() && m_underWay.begin()->first <= m_clock.now()) {
        m_underWay.begin()->second();
        m_underWay.erase(m_underWay.begin());
    }
    if (happens(m_shape.soundPerSecond))
        send(m_shape.repeatedShare > 0 && uniform() < m_shape.repeatedShare
                 ? repeatedPrompt(FirstRepeated + m_random() % RepeatedCount, Kind::Sound)
                 : newPrompt(Kind::Sound));
    if ((isStarted() || m_shape.wasSound) && happens(m_shape.deadlyPerSecond))
        send(newPrompt(Kind::Deadly));
    if (m_shape.poisonPerSecond > 0 && isStarted() && happens(m_shape.poisonPerSecond))
        send(repeatedPrompt(PoisonRequest, Kind::Poison));
    if (isStarted() && happens(m_shape.failuresPerSecond)) {
        for (unsigned n = 0; n < m_shape.enginesPerFailure; ++n)
            crash(static_cast<unsigned>(m_random() % m_engines.size()));
    }
    for (unsigned n = 0; n < m_engines.size(); ++n)
        runEngine(n);
}

PoisonSimulation::Prompt PoisonSimulation::repeatedPrompt(std::uint64_t request, Kind kind)
{
    Prompt prompt;
    prompt.request = request;
    prompt.attempt = ++m_requests;
    prompt.parts = {DeadlyTeam, DeadlyTeam * 1'000 + request % RepeatedCount};
    prompt.kind = kind;
    prompt.isRepeated = true;
    prompt.instance = static_cast<unsigned>(m_random() % m_instances.size());
    return prompt;
}

PoisonSimulation::Prompt PoisonSimulation::newPrompt(Kind kind)
{
    const bool isDeadly = kind == Kind::Deadly;
    Prompt prompt;
    prompt.kind = kind;
    prompt.request = ++m_requests;
    prompt.attempt = prompt.request;
    prompt.instance = static_cast<unsigned>(m_random() % m_instances.size());
    const auto team = isDeadly ? DeadlyTeam : DeadlyTeam + m_random() % Teams;
    prompt.parts = {team, team * 1'000 + zipf(300)};
    // A session of some seconds, from few or many callers.
    const auto seconds =
        std::chrono::duration_cast<std::chrono::seconds>(m_clock.now() - m_begin).count();
    if (uniform() < 0.7)
        prompt.parts.push_back((team * 1'000 + std::uint64_t(seconds) / 8) * 1'000 + zipf(200));
    if (isDeadly)
        prompt.parts.insert(prompt.parts.begin() + 1 + long(m_random() % 2), DeadlyPart);
    return prompt;
}

std::vector<std::uint64_t> PoisonSimulation::suspectsOf(const Prompt &prompt)
{
    auto suspects = prompt.parts;
    suspects.push_back(prompt.request);
    return suspects;
}

void PoisonSimulation::countSound(const Prompt &prompt, bool isRefused)
{
    m_outcome.soundRefused += isRefused;
    if (prompt.parts.front() != DeadlyTeam || !m_fifthCrash || m_clock.now() < *m_fifthCrash + 6s)
        return;
    ++m_soundAsked;
    m_soundTaken += !isRefused;
    m_repeatedAsked += prompt.isRepeated;
    m_repeatedTaken += prompt.isRepeated && !isRefused;
}

bool PoisonSimulation::crashesEngine(const Prompt &prompt) const
{
    return prompt.kind == Kind::Poison || (prompt.kind == Kind::Deadly && isStarted());
}

void PoisonSimulation::send(Prompt prompt)
{
    const auto now = m_clock.now();
    const bool isRefused =
        m_instances[prompt.instance].table->findPoison(suspectsOf(prompt), now).has_value();
    if (prompt.kind == Kind::Sound)
        countSound(prompt, isRefused);
    if (isRefused)
        return;
    Engine *best = nullptr;
    for (auto &engine : m_engines) {
        if (engine.up <= now && (!best || engine.waiting.size() < best->waiting.size()))
            best = &engine;
    }
    if (!best)
        return;
    if (prompt.kind == Kind::Deadly && m_fifthCrash && now > *m_fifthCrash + 3s)
        ++m_outcome.deadlySentLate;
    if (prompt.kind == Kind::Poison && m_thirdPoisonCrash && prompt.attempts == 0
        && now > *m_thirdPoisonCrash + 3s)
        ++m_outcome.poisonSentLate;
    ++prompt.attempts;
    best->waiting.push_back(std::move(prompt));
}

void PoisonSimulation::runEngine(unsigned number)
{
    auto &engine = m_engines[number];
    const auto now = m_clock.now();
    while (!engine.begun.empty() && engine.begun.front().firstToken + 500ms <= now) {
        const auto &prompt = engine.begun.front();
        auto &table = *m_instances[prompt.instance].table;
        table.noteAnswered(suspectsOf(prompt), now);
        engine.begun.pop_front();
    }
    if (engine.waiting.empty() || now < engine.up) {
        engine.prefilled = now + 50ms;
        return;
    }
    if (now < engine.prefilled)
        return;
    if (crashesEngine(engine.waiting.front())) {
        const bool isPoison = engine.waiting.front().kind == Kind::Poison;
        engine.begun.push_back(std::move(engine.waiting.front()));
        engine.waiting.pop_front();
        if (isPoison && ++m_poisonCrashes == 3)
            m_thirdPoisonCrash = now;
        if (!isPoison && ++m_deadlyCrashes == 5)
            m_fifthCrash = now;
        if (m_deadlyCrashes == 3 && m_shape.restartsInstance)
            m_instances.front() = {std::make_unique<Gateway::PoisonTable>(), {}};
        crash(number);
        return;
    }
    engine.waiting.front().firstToken = now;
    engine.begun.push_back(std::move(engine.waiting.front()));
    engine.waiting.pop_front();
    engine.prefilled = now + std::chrono::milliseconds(30 + m_random() % 200);
}

void PoisonSimulation::crash(unsigned number)
{
    auto &engine = m_engines[number];
    const auto now = m_clock.now();
    if (now < engine.up)
        return;
    ++m_outcome.crashes;
    engine.up = now + 2s + std::chrono::milliseconds(m_random() % 2'000);
    const auto id = std::uint64_t(number) * 1'000 + engine.incarnation++;
    std::deque<Prompt> lost;
    lost.swap(engine.waiting);
    const auto waiting = lost.size();
    lost.insert(lost.end(), engine.begun.begin(), engine.begun.end());
    engine.begun.clear();
    for (std::size_t n = 0; n < lost.size(); ++n) {
        auto &prompt = lost[n];
        auto &instance = m_instances[prompt.instance];
        const bool hasBegun =
            n >= waiting && !(m_shape.crashesBeforeHead && prompt.kind == Kind::Poison);
        const Gateway::Casualty casualty {id, prompt.request, prompt.parts, hasBegun,
                                          prompt.attempt};
        instance.table->noteCasualty(casualty, now);
        if (instance.casualties.empty())
            instance.casualties.emplace_back();
        instance.casualties.back().push_back(casualty);
        if (prompt.attempts < 2)
            send(std::move(prompt));
    }
}

void PoisonSimulation::exchange()
{
    for (unsigned from = 0; from < m_instances.size(); ++from) {
        auto &instance = m_instances[from];
        const auto answered = instance.table->takeAnsweredSuspects(m_clock.now());
        for (unsigned to = 0; to < m_instances.size(); ++to) {
            if (to != from && uniform() >= LossShare)
                report(from, to, answered);
        }
        instance.casualties.emplace_back();
        if (instance.casualties.size() > 3)
            instance.casualties.pop_front();
    }
}

void PoisonSimulation::report(unsigned from, unsigned to,
                              const std::vector<Gateway::AnsweredSuspect> &answered)
{
    const auto &sender = m_instances[from];
    const bool isSlow = uniform() < 0.2;
    const auto delay = std::chrono::milliseconds(5 + m_random() % (isSlow ? 495 : 30));
    const auto receive = [this, to, answered, casualties = sender.casualties,
                          poison = sender.table->causes(m_clock.now())] {
        auto &table = *m_instances[to].table;
        const auto now = m_clock.now();
        for (const auto &group : casualties) {
            for (const auto &casualty : group)
                table.noteCasualty(casualty, now);
        }
        for (const auto &part : answered)
            table.noteAnsweredBySibling(part, now);
        for (const auto &part : poison)
            table.notePoison(part, now);
    };
    m_underWay.emplace(m_clock.now() + delay, receive);
}

} // namespace GatewayTests
