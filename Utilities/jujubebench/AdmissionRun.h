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

/// Describes the requests of one class and how admission treats them.
struct ClassLoad
{
    std::string name;
    std::uint64_t minPromptTokens = 1000;
    std::uint64_t maxPromptTokens = 2000;
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
    /// Arrival rate as a multiple of the rate that all engines can serve of this class alone.
    double load = 0.1;
    EventQueue::Duration from {0};
    EventQueue::Duration to {0};
    /// The entry instance that receives all arrivals; any instance when empty.
    std::optional<std::size_t> instance;
    /// Whether the baseline run without floods omits this stream.
    bool isFlood = false;
};

/// Holds the load, the admission rules and the engines of one run.
struct AdmissionSetup
{
    std::size_t instances = 8;
    std::vector<EngineSettings> engines;
    std::vector<ClassLoad> classes;
    /// Share of the capacity that each team owns.
    std::vector<double> ownedShares;
    std::vector<StreamLoad> streams;
    EventQueue::Duration duration {std::chrono::seconds(30)};

    /// Returns the requests per second of the class that the engines can serve when they serve
    /// nothing else.
    double capacityRate(std::size_t classIndex) const;
    std::uint32_t slots() const;
};

/// Selects the parts of admission that are enabled.
enum class AdmissionMode {
    Ours,
    /// Instances never exchange demand.
    SafeShares,
    /// No running request is preempted.
    NoPreemption,
    /// Every request is sent to an engine immediately; only the engines' own priorities order the
    /// work.
    Direct,
};

/// Records the outcome of one request.
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

/// Simulates one run of seeded load through admission at several instances, each with its own share
/// of the slots. Granted requests go to the engine with a free slot and the fewest prompt tokens
/// left to prefill. These counts are exact, so that placement does not influence the result. Direct
/// requests go to the engine with the fewest requests.
class AdmissionRun
{
public:
    AdmissionRun(const AdmissionSetup &setup, AdmissionMode mode, std::uint64_t seed);
    AdmissionRun(const AdmissionRun &) = delete;
    AdmissionRun &operator=(const AdmissionRun &) = delete;

    /// Runs until the end of the duration. May be called only once. Flood streams are omitted
    /// unless withFloods is set.
    void run(bool withFloods);

    const std::vector<AdmissionOutcome> &outcomes() const { return m_outcomes; }
    /// Returns the slot-seconds that each class used in [from, to), indexed by class.
    std::vector<double> slotSeconds(EventQueue::Duration from, EventQueue::Duration to) const;
    /// Returns the slots that each team used at each tick of 100 ms.
    const std::vector<std::vector<std::uint32_t>> &teamSlots() const { return m_teamSlots; }
    /// Returns the usage report built from the usage records of all instances.
    Accounting::UsageReport account();
    /// Returns the largest sum, over all instances at one tick, of the slots that they were allowed
    /// to use.
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
    /// Returns the engine that receives the next request.
    std::size_t chooseEngine(int priority) const;
    void send(std::size_t request, const Admission::Grant &grant);
    void preempt(std::size_t instance, Admission::TicketId ticket);
    void onFirstToken(std::uint64_t id);
    void onFinished(std::uint64_t id);
    /// Ends an attempt and releases its slot.
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
