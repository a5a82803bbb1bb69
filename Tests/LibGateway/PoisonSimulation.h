#pragma once

#include <LibCore/ManualClock.h>
#include <LibGateway/PoisonTable.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <vector>

namespace GatewayTests {

struct PoisonShape
{
    std::uint64_t seed = 1;
    unsigned instances = 5;
    unsigned engines = 10;
    double soundPerSecond = 50;
    double deadlyPerSecond = 0;
    /// Crashes without a deadly part, and how many engines crash in each.
    double failuresPerSecond = 0;
    unsigned enginesPerFailure = 1;
    /// Whether the deadly part was answered until it became deadly.
    bool wasSound = false;
    /// Whether an instance loses its state after the third crash.
    bool restartsInstance = false;
    /// The share of sound prompts that repeat one of a few requests, with the deadly prompts' first
    /// part.
    double repeatedShare = 0;
    /// How often a second one request is sent that crashes the engines that run it, whatever its
    /// parts are.
    double poisonPerSecond = 0;
    /// Whether that request crashes an engine before the head of its answer has left.
    bool crashesBeforeHead = false;
};

/// What callers and engines received.
struct PoisonOutcome
{
    unsigned crashes = 0;
    /// Deadly prompts that were sent later than 3 s after the fifth crash by one.
    unsigned deadlySentLate = 0;
    /// Sound prompts that were refused as poison.
    unsigned soundRefused = 0;
    /// The share of sound prompts with the deadly prompts' first part that were not refused, later
    /// than 6 s after the fifth crash.
    double soundShare = 1;
    /// The same share of those that repeat a request.
    double repeatedShare = 1;
    /// How often the request that crashes engines was sent later than 3 s after its third crash.
    unsigned poisonSentLate = 0;
};

/// Plays prompts over instances that exchange evidence with loss and delay, and engines that crash
/// on a deadly part at the first token.
class PoisonSimulation
{
public:
    explicit PoisonSimulation(PoisonShape shape);

    PoisonOutcome run();

private:
    using Time = Core::Clock::Monotonic;
    enum class Kind {
        Sound,
        /// Crashes engines with a part.
        Deadly,
        /// Crashes engines, whatever its parts are.
        Poison,
    };
    struct Prompt
    {
        std::uint64_t request = 0;
        std::uint64_t attempt = 0;
        std::vector<std::uint64_t> parts;
        Kind kind = Kind::Sound;
        bool isRepeated = false;
        unsigned instance = 0;
        unsigned attempts = 0;
        Time firstToken;
    };
    struct Engine
    {
        std::deque<Prompt> waiting;
        /// Prompts whose answer began less than the time ago that shows that it goes on.
        std::deque<Prompt> begun;
        Time prefilled;
        Time up;
        std::uint64_t incarnation = 0;
    };
    struct Instance
    {
        std::unique_ptr<Gateway::PoisonTable> table;
        std::deque<std::vector<Gateway::Casualty>> casualties;
    };

    double uniform() { return std::uniform_real_distribution<>(0, 1)(m_random); }
    bool happens(double perSecond);
    std::uint64_t zipf(std::uint64_t count);
    bool isStarted() const;
    void step();
    Prompt newPrompt(Kind kind);
    Prompt repeatedPrompt(std::uint64_t request, Kind kind);
    void send(Prompt prompt);
    static std::vector<std::uint64_t> suspectsOf(const Prompt &prompt);
    void countSound(const Prompt &prompt, bool isRefused);
    bool crashesEngine(const Prompt &prompt) const;
    void runEngine(unsigned engine);
    void crash(unsigned engine);
    void exchange();
    void report(unsigned from, unsigned to, const std::vector<Gateway::AnsweredSuspect> &answered);

    PoisonShape m_shape;
    Core::ManualClock m_clock;
    Time m_begin;
    std::mt19937_64 m_random;
    std::vector<Engine> m_engines;
    std::vector<Instance> m_instances;
    std::multimap<Time, std::function<void()>> m_underWay;
    std::uint64_t m_requests = 0;
    std::optional<Time> m_fifthCrash;
    unsigned m_deadlyCrashes = 0;
    unsigned m_soundAsked = 0;
    unsigned m_soundTaken = 0;
    unsigned m_repeatedAsked = 0;
    unsigned m_repeatedTaken = 0;
    std::optional<Time> m_thirdPoisonCrash;
    unsigned m_poisonCrashes = 0;
    PoisonOutcome m_outcome;
};

} // namespace GatewayTests
