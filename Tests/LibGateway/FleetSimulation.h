#pragma once

#include <LibCapacity/SpeedTable.h>
#include <LibCore/ManualClock.h>
#include <LibGateway/PromptAdmission.h>
#include <LibGateway/UpstreamChooser.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace GatewayTests {

using Milliseconds = Gateway::EngineModel::Milliseconds;

/// A kind of request with a prompt.
struct PromptKind
{
    std::string name;
    double perSecond = 10;
    unsigned sharedTokens = 0;
    /// Mean of the request's own tokens, which are distributed log-normally.
    double ownTokens = 1'000;
    double spread = 1;
    unsigned maxTokens = 40'000;
    std::chrono::milliseconds target {500};
    std::chrono::milliseconds callerTime {4'000};
    bool isUrgent = false;
    unsigned sessions = 100;
};

struct FleetShape
{
    unsigned instances = 8;
    unsigned engines = 18;
    unsigned dataCentres = 3;
    unsigned teams = 8;
    double tokensPerMillisecond = 44;
    std::uint64_t cacheTokens = 95'000;
    /// The interval and the age of the load reports between instances.
    std::chrono::milliseconds reportInterval {100};
    std::chrono::milliseconds reportDelay {5};
    /// Whether instances learn the exact load of an engine before they send to it, as from the
    /// keeper of its queue, and choose again if it is longer than they knew.
    bool keepsQueues = false;
    /// Whether instances vary their choice among engines that are about equally good.
    bool variesChoice = true;
    /// Whether the speeds of engines are measured and take effect at all instances.
    bool measuresSpeeds = false;
    std::chrono::seconds length {20};
    std::uint64_t seed = 1;
};

/// What callers received, for one group of them.
struct CallerTally
{
    unsigned asked = 0;
    unsigned inTime = 0;
    unsigned late = 0;
    unsigned refusedTwice = 0;
    double servedShare() const { return asked ? double(inTime + late) / asked : 1; }
    double inTimeShare() const { return asked ? double(inTime) / asked : 1; }
};

/// Plays a load over simulated engines with the actual choice of engines and admission of prompts.
/// Each engine prefills one prompt at a time, urgent ones first, and completes what it has begun.
/// Callers that are refused return once, at another instance.
class FleetSimulation
{
public:
    FleetSimulation(FleetShape shape, std::vector<PromptKind> kinds);

    void run();

    /// Tallies by kind, and by a group within the kind such as "large", "team 3" or "centre 1".
    const CallerTally &tally(const std::string &kind, const std::string &group = "all");
    /// The mean absolute error of the expected wait.
    Milliseconds meanWaitError() const;
    /// The number of prompts that were sent to an engine that had become busier than the instance
    /// knew, because others had sent there since their last report.
    unsigned collisions() const { return m_collisions; }

    /// The factor by which more requests arrive at a time; constant unless set.
    std::function<double(Core::Clock::Monotonic)> loadFactor;
    /// The speed of an engine, 1 being that of the shape's rate; 1 unless set.
    std::function<double(unsigned engine)> engineSpeed;
    /// Returns the tokens that an engine has prefilled.
    double prefilledTokens(unsigned engine) const { return m_engines[engine].prefilledTokens; }
    Core::Clock::Monotonic now() const { return m_clock.now(); }

private:
    struct Prompt
    {
        const PromptKind *kind = nullptr;
        std::vector<Gateway::PromptPart> parts;
        std::vector<std::string> groups;
        unsigned instance = 0;
        unsigned engine = 0;
        unsigned tokens = 0;
        std::uint64_t believedTokens = 0;
        Milliseconds expectedWait {0};
        Core::Clock::Monotonic firstArrival;
        Core::Clock::Monotonic sent;
        Core::Clock::Monotonic started;
        /// The tokens that the engine prefills.
        double prefillTokens = 0;
        bool isReturning = false;
    };
    using PromptPointer = std::shared_ptr<Prompt>;
    struct Engine
    {
        PromptPointer current;
        std::deque<PromptPointer> urgent;
        std::deque<PromptPointer> ordinary;
        Gateway::PrefixCacheEstimate cache;
        double prefilledTokens = 0;
    };
    struct Instance
    {
        Gateway::UpstreamFleet fleet;
        Gateway::EngineModel model;
        std::minstd_rand random;
        std::map<const PromptKind *, Gateway::ReturningCallers> returning;
    };
    using Event = std::pair<Core::Clock::Monotonic, std::function<void()>>;

    void at(Core::Clock::Monotonic time, std::function<void()> action);
    void scheduleArrival(const PromptKind &kind);
    PromptPointer newPrompt(const PromptKind &kind);
    void arrive(const PromptPointer &prompt);
    std::optional<Gateway::EngineChoice> choose(const Prompt &prompt);
    /// Sets what the instance knows of the engine's load to the actual one. Returns whether it is
    /// longer than known.
    bool learnLoad(unsigned instance, Gateway::Upstream &engine);
    void send(const PromptPointer &prompt, const Gateway::EngineChoice &choice);
    void refuse(const PromptPointer &prompt, const Gateway::PromptRefusal &refusal);
    void startNext(unsigned engine);
    void finishPrefill(unsigned engine);
    void exchangeLoads();
    /// Applies the measured speeds at all instances after the delay of reports.
    void exchangeSpeeds();
    void count(const Prompt &prompt, unsigned CallerTally::*field);
    std::shared_ptr<Gateway::Upstream> upstream(unsigned instance, unsigned engine);

    FleetShape m_shape;
    std::vector<PromptKind> m_kinds;
    Core::ManualClock m_clock;
    Core::Clock::Monotonic m_end;
    std::mt19937_64 m_random;
    std::vector<Engine> m_engines;
    Capacity::SpeedTable m_speeds;
    std::vector<std::unique_ptr<Instance>> m_instances;
    std::map<std::uint64_t, std::pair<Core::Clock::Monotonic, std::function<void()>>> m_actions;
    std::priority_queue<std::pair<Core::Clock::Monotonic, std::uint64_t>,
                        std::vector<std::pair<Core::Clock::Monotonic, std::uint64_t>>,
                        std::greater<>>
        m_events;
    std::uint64_t m_nextEvent = 0;
    std::map<std::string, CallerTally> m_tallies;
    double m_errorSum = 0;
    unsigned m_errorCount = 0;
    unsigned m_collisions = 0;
};

} // namespace GatewayTests
