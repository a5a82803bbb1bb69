#pragma once

#include "FakeEngine.h"

#include <LibAccounting/UsageLedger.h>
#include <LibAccounting/UsageMeter.h>
#include <LibAccounting/UsageOutbox.h>
#include <LibAdmission/Controller.h>

#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace Bench {

/// What requests of one class look like and how they are treated.
struct ClassLoad
{
    std::string name;
    std::uint64_t leastPromptTokens = 1000;
    std::uint64_t mostPromptTokens = 2000;
    std::uint64_t meanOutputTokens = 100;
    /// Target time to first token; zero for none.
    std::chrono::milliseconds target {0};
    double floorShare = 0;
    std::size_t queueLimit = 256;
    bool preemptible = false;
};

/// Poisson arrivals of one team in one class.
struct StreamLoad
{
    std::size_t team = 0;
    std::size_t classIndex = 0;
    /// Arrivals in units of what all engines can serve of the class alone.
    double load = 0.1;
    EventQueue::Duration from {0};
    EventQueue::Duration to {0};
    /// The entry instance that all arrivals come to; empty for any.
    std::optional<std::size_t> instance;
    /// Left out of the run that the others are compared with.
    bool isFlood = false;
};

/// Work, rules and engines of one run.
struct AdmissionSetup
{
    std::size_t instances = 8;
    std::vector<EngineSettings> engines;
    std::vector<ClassLoad> classes;
    /// Part of the capacity that each team owns.
    std::vector<double> ownedShares;
    std::vector<StreamLoad> streams;
    EventQueue::Duration duration {std::chrono::seconds(30)};

    /// Requests a second of the class that the engines can serve when they do nothing else.
    double capacityRate(std::size_t classIndex) const;
    std::uint32_t slots() const;
};

/// Which parts of the admission are on.
enum class AdmissionMode {
    Ours,
    /// Instances never exchange demand.
    SafeShares,
    /// Nobody is asked to yield.
    NoPreemption,
    /// Every request goes to an engine at once; only the engines' own priorities order the work.
    Direct,
};

/// What became of one request.
struct AdmissionOutcome
{
    std::size_t team = 0;
    std::size_t classIndex = 0;
    std::size_t instance = 0;
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0;
    EventQueue::Time arrival;
    std::optional<EventQueue::Time> firstToken;
    std::optional<EventQueue::Time> finished;
    bool isRefused = false;
    std::uint32_t preemptions = 0;
};

/// One run of seeded work through admission at several instances, each with its own share of the
/// slots. Granted requests go to the engine with a free slot and the least prompt tokens left to
/// prefill, known exactly, so that placement plays no part; direct ones to the engine with the
/// fewest requests.
class AdmissionRun
{
public:
    AdmissionRun(const AdmissionSetup &setup, AdmissionMode mode, std::uint64_t seed);
    AdmissionRun(const AdmissionRun &) = delete;
    AdmissionRun &operator=(const AdmissionRun &) = delete;

    /// Runs to the end of the duration. Call once. Without floods the flood streams stay away.
    void run(bool withFloods);

    const std::vector<AdmissionOutcome> &outcomes() const { return m_outcomes; }
    /// Slots times seconds that each class used in [from, to), by class position.
    std::vector<double> slotSeconds(EventQueue::Duration from, EventQueue::Duration to) const;
    /// Slots that a team used at each tick of 100 ms.
    const std::vector<std::vector<std::uint32_t>> &teamSlots() const { return m_teamSlots; }
    /// The account built from the usage records of all instances.
    Accounting::UsageReport account();
    /// The largest sum over the instances of slots that they might have used at one tick.
    std::uint32_t largestShareSum() const { return m_largestShareSum; }

private:
    struct Instance
    {
        std::unique_ptr<Admission::Controller> controller;
        std::unique_ptr<Accounting::UsageMeter> meter;
    };
    struct Attempt
    {
        std::size_t request = 0;
        std::size_t engine = 0;
        Admission::TicketId ticket;
    };
    struct SlotUse
    {
        std::size_t classIndex = 0;
        EventQueue::Time from;
        std::optional<EventQueue::Time> to;
    };

    Admission::Policy policy() const;
    void makeEngines();
    void makeInstances();
    void makeArrivals(const StreamLoad &stream);
    void arrive(std::size_t request);
    void submit(std::size_t request, bool isResumed);
    /// The engine that the next request goes to.
    std::size_t chooseEngine(int priority) const;
    void send(std::size_t request, const Admission::Grant &grant);
    void preempt(std::size_t instance, Admission::TicketId ticket);
    void onFirstToken(std::uint64_t id);
    void onFinished(std::uint64_t id);
    /// Ends an attempt and its use of a slot.
    Attempt endAttempt(std::uint64_t id);
    void tick();
    void exchangeReports();
    static Core::InstanceId instanceName(std::size_t instance);
    static Core::TeamId teamName(std::size_t team);

    AdmissionSetup m_setup;
    AdmissionMode m_mode;
    std::mt19937_64 m_rng;
    Core::ManualClock m_clock;
    EventQueue m_queue {m_clock};
    Core::Clock::Wall m_wallStart;
    std::vector<std::unique_ptr<FakeEngine>> m_engines;
    std::vector<std::size_t> m_outstanding;
    std::vector<Instance> m_instances;
    std::vector<AdmissionOutcome> m_outcomes;
    std::unordered_map<std::uint64_t, Attempt> m_attempts;
    std::unordered_map<std::uint64_t, std::size_t> m_slotUseOfAttempt;
    std::map<std::pair<std::size_t, Admission::TicketId>, std::uint64_t> m_attemptOfTicket;
    std::vector<SlotUse> m_slotUses;
    std::vector<std::uint32_t> m_runningByTeam;
    std::vector<std::vector<std::uint32_t>> m_teamSlots;
    std::uint64_t m_lastAttempt = 0;
    std::uint32_t m_largestShareSum = 0;
};

} // namespace Bench
