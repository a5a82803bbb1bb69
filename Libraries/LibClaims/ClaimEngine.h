#pragma once

#include <LibClaims/AnswerStore.h>
#include <LibClaims/ClaimAttempt.h>
#include <LibClaims/ClaimCounters.h>
#include <LibClaims/ClaimPartition.h>
#include <LibClaims/ClaimWriter.h>

#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace Claims {

/// One call of this instance, from begin() to its answer.
using CallId = std::uint64_t;

/// Ask the holder, then call onHolderReply().
struct AskAction
{
    CallId call = 0;
    HolderQuery query;
};

/// Send the request once, then call onSendResult().
struct SendAction
{
    CallId call = 0;
};

/// Answer the caller.
struct AnswerAction
{
    CallId call = 0;
    Outcome outcome;
};

/// What the engine wants done. Appends are answered by onAppendResult().
using ClaimAction = std::variant<AppendBatch, AskAction, SendAction, AnswerAction>;
using ClaimActions = std::vector<ClaimAction>;

/// All decisions of one instance about non-repeatable calls: it takes events (a call, an append's
/// result, a page of the log, a holder's reply, an upstream's result, the passing of time) and
/// returns actions. Does no input or output and reads no clock but the one passed in. Not safe
/// from several threads.
class ClaimEngine
{
public:
    /// The origin must be drawn anew for each life of an instance, because it tells its attempts
    /// from those of earlier lives also when an incarnation number comes up twice.
    ClaimEngine(const ClaimSettings &settings, Holder self, std::uint64_t origin,
                const Core::Clock &clock);
    ClaimEngine(const ClaimEngine &) = delete;
    ClaimEngine &operator=(const ClaimEngine &) = delete;

    /// Takes a call. Its answer comes in an AnswerAction, at once or later.
    ClaimActions begin(CallId call, const Call &request);
    /// Refuses a call with a promise about the key: seals it in the log, if nobody holds it.
    ClaimActions beginClose(CallId call, const Call &request, Core::ErrorKind refusal);
    ClaimActions onAppendResult(std::uint64_t batchId, bool succeeded);
    ClaimActions onPage(std::size_t partition, const Platform::LogPage &page);
    ClaimActions onHolderReply(CallId call, const HolderReply &reply);
    ClaimActions onSendResult(CallId call, const SendResult &result);
    /// An upstream's answer came after its outcome had been given up as lost.
    ClaimActions onLateAnswer(const ClaimKey &key, const AnswerPointer &answer);
    ClaimActions onTimer();
    /// When onTimer() is due, if nothing else happens.
    std::optional<Core::Clock::Monotonic> nextDeadline() const;

    /// What this instance knows of its own attempt, for a sibling that lost against it.
    HolderReply replyTo(const HolderQuery &query) const;
    /// What can truthfully be said of a key without waiting for anybody.
    Core::ExecutionStatus keyExecutionStatus(const ClaimKey &key) const;
    /// The error for a call that is rejected early (overload, drain, log out, not ready,
    /// expired key): this attempt did not run, and the key's status is what the log shows.
    Core::Error earlyRejection(Core::ErrorKind kind, const ClaimKey &key) const;

    std::size_t partitionOf(const ClaimKey &key) const;
    std::size_t partitionCount() const { return m_partitions.size(); }
    const ClaimPartition &partition(std::size_t n) const { return m_partitions[n]; }
    /// Whether every partition was read to its end.
    bool isCaughtUp() const;
    /// Records not yet known to be in the log. A graceful shutdown waits for none to be left.
    std::size_t pendingRecords() const { return m_writer.pendingCount(); }
    const ClaimCounters &counters() const { return m_counters; }
    const Holder &self() const { return m_self; }
    std::uint64_t origin() const { return m_origin; }

    /// The stream of one partition. The count is part of the name, so that instances that were
    /// set up differently never share a stream.
    static std::string streamName(const std::string &environment, std::size_t partition,
                                  std::size_t count);
    /// The stream of one of this engine's partitions.
    std::string streamName(std::size_t partition) const;

private:
    using Attempt = std::unique_ptr<ClaimAttempt>;

    bool rejectEarly(CallId call, const Call &request, ClaimActions &actions);
    ClaimAttempt &addAttempt(CallId call, const Call &request);
    void execute(CallId call, const ClaimAttempt::Steps &steps, ClaimActions &actions);
    void append(CallId call, const AppendStep &step);
    void ask(CallId call, const AskStep &step, ClaimActions &actions);
    void answer(CallId call, Outcome outcome, ClaimActions &actions);
    void noteFaults(std::size_t partition, std::uint64_t rebuilds, std::uint64_t malformed);
    void onOwnRecord(const ClaimRecord &record, const Verdict &verdict, ClaimActions &actions);
    ClaimActions addDueAppends(ClaimActions actions);
    ClaimRecord makeRecord(RecordKind kind, const Call &call, const AttemptId &attempt) const;
    void scheduleTimer(CallId call);
    void expireAnswers();
    IssueTime expiryTime(const ClaimKey &key) const;

    ClaimSettings m_settings;
    Holder m_self;
    const Core::Clock &m_clock;
    ClaimCounters m_counters;
    std::vector<ClaimPartition> m_partitions;
    ClaimWriter m_writer;
    AnswerStore m_answers;
    const std::uint64_t m_origin;
    std::uint64_t m_nextSequence = 1;
    std::unordered_map<CallId, Attempt> m_calls;
    std::unordered_map<AttemptId, CallId> m_callByAttempt;
    std::set<std::pair<Core::Clock::Monotonic, CallId>> m_deadlines;
    Core::Clock::Monotonic m_nextExpiry {};
};

} // namespace Claims
