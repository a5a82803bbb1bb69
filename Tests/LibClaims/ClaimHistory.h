#pragma once

#include <LibClaims/ClaimEngine.h>
#include <LibCore/ManualClock.h>
#include <LibPlatform/InMemoryLog.h>

#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <string>

/// Disables or breaks one mechanism, to verify that the checks detect its absence.
enum class Mutation {
    None,
    /// Readers ignore the claims of other instances.
    IgnoreOtherClaims,
    /// Readers treat a claim as void once it is older than a lease.
    LeaseTakeover,
    /// A send whose outcome was lost is retried.
    ResendAfterLoss,
    /// A claimant that receives no verdict from the log sends anyway.
    SendWithoutVerdict,
    /// A claim that reaches the log after its caller was refused is still sent.
    SendLateClaim,
    /// Readers ignore void records.
    IgnoreVoids,
    /// Readers do not notice missing records.
    HideGaps,
    /// An early rejection states that the key has not run.
    EarlyRejectionReportsNotRun,
    /// A refusal of an expired key states that the key has not run.
    ExpiryReportsNotRun,
    /// A restarted instance derives its attempt ids from its incarnation number only.
    ReuseOrigin,
    /// The digest of a key's request is not compared.
    IgnoreDigest,
};

/// The kinds of faults in a history, selected by the seed.
enum class HistoryKind {
    ShortRetention,
    FaultFree,
    FaultsWithoutCrashes,
    Faults,
};

HistoryKind historyKind(std::uint64_t seed);

/// The result of one history.
struct HistoryReport
{
    /// Descriptions of all violated guarantees.
    std::vector<std::string> violations;
    std::size_t answers = 0;
    std::size_t unknownKeys = 0;
    std::size_t runs = 0;
    std::size_t replays = 0;
    std::size_t crashes = 0;
    std::size_t rebuilds = 0;
    std::size_t voids = 0;
    std::map<std::string, std::size_t> unknownByKind;
};

/// A seeded simulation of three instances in two data centres that share one log and one
/// non-repeatable service, on a manual clock. It includes calls, resends, early rejections, crashes
/// at every step, freezes longer than every timeout, appends whose acknowledgements are lost or
/// that take effect late, log outages, disconnected data centres, and retention. The service counts
/// its runs, and every answer is checked at the end.
class ClaimHistory
{
public:
    ClaimHistory(std::uint64_t seed, Mutation mutation);
    HistoryReport run();

private:
    using Time = std::chrono::milliseconds;
    using Task = std::function<void()>;

    struct Event
    {
        Time time;
        std::uint64_t order;
        Task task;
        bool operator<(const Event &other) const
        {
            return std::tie(time, order) > std::tie(other.time, other.order);
        }
    };
    struct Instance
    {
        /// Number of times this instance has been started.
        std::uint64_t processEpoch = 0;
        std::unique_ptr<Claims::ClaimEngine> engine;
        Time frozenUntil {0};
        Time timerAt {-1};
        bool isDisconnected = false;
        std::vector<bool> reading;
    };
    struct Call
    {
        std::size_t instance = 0;
        std::uint64_t processEpoch = 0;
        Claims::Call request;
        bool sent = false;
        bool ran = false;
        bool answered = false;
        bool sendsLateClaim = false;
        bool isProbe = false;

        const std::string &key() const { return request.key.text; }
    };
    struct Answer
    {
        Claims::CallId call = 0;
        Claims::Outcome outcome;
        bool keyHadRun = false;
        bool keyHadWinner = false;
    };

    /// Returns the service's answer to a request. It identifies the key and the request body.
    static std::string bodyOf(const Claims::Call &request)
    {
        return request.key.text + "/" + std::to_string(request.digest);
    }
    Time now() const;
    Time randomTime(int low, int high);
    bool chance(int percent);
    void runAfter(Time delay, Task task);
    void runOnInstance(std::size_t n, Time delay, Task task);
    void start(std::size_t n);
    /// Ends the process of an instance. It starts again after the given time, or a random one.
    void crash(std::size_t n, std::optional<Time> restartTime = std::nullopt);
    bool isFaultFree() const { return m_hasRecovered || m_kind == HistoryKind::FaultFree; }
    bool hasCrashes() const;
    bool maybeCrash(std::size_t n);
    bool isLogUnavailable(std::size_t n) const;
    void scheduleCalls();
    void scheduleFaults();
    /// A key whose instance crashes between its claim and its answer, and that is sent again to the
    /// restarted instance.
    void scheduleRestartBeforeAnswer();
    void scheduleCall(Time time, std::size_t n, const Claims::Call &request, bool rejectsEarly);
    void execute(std::size_t n, Claims::ClaimActions actions);
    void append(std::size_t n, const Claims::AppendBatch &batch);
    void read(std::size_t n, std::size_t partition);
    void ask(std::size_t n, const Claims::AskAction &action);
    void send(std::size_t n, Claims::CallId id);
    void simulateService(std::size_t n, Claims::CallId id);
    void answer(std::size_t n, const Claims::AnswerAction &action);
    void recordAnswer(Claims::CallId id, const Claims::Outcome &outcome);
    void mutatePage(std::size_t n, Platform::LogPage &page);
    void mutateRecords(std::size_t n, Platform::LogRecord &entry);
    void scheduleProbes();
    void check();
    void addViolation(Claims::CallId id, const std::string &text);

    std::mt19937_64 m_rng;
    Mutation m_mutation;
    Core::ManualClock m_clock;
    std::chrono::system_clock::time_point m_epoch;
    HistoryKind m_kind;
    Platform::InMemoryLog m_log;
    Claims::ClaimSettings m_settings;
    std::vector<Instance> m_instances;
    std::priority_queue<Event> m_events;
    std::uint64_t m_order = 0;
    std::map<Claims::CallId, Call> m_calls;
    std::vector<Answer> m_answers;
    std::map<std::string, std::size_t> m_runs;
    std::map<std::string, std::size_t> m_wins;
    std::map<std::string, std::size_t> m_sends;
    std::map<std::string, std::pair<Claims::ClaimRecord, Time>> m_lastClaims;
    /// Interval in which the log is unavailable to all instances.
    Time m_outageStart {0};
    Time m_outageEnd {0};
    /// Set when the fault phase has ended.
    bool m_hasRecovered = false;
    bool m_hasLongFreeze = false;
    /// Restarted instances keep the same incarnation number.
    bool m_reusesIncarnations = false;
    HistoryReport m_report;
};
