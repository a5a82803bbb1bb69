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

/// Identifies one call of this instance from begin() to its answer.
using CallId = std::uint64_t;

/// Requests a query to the holder; call onHolderReply() with the reply.
struct AskAction
{
    CallId call = 0;
    HolderQuery query;
};

/// Requests that the call be sent once; call onSendResult() with the result.
struct SendAction
{
    CallId call = 0;
};

/// Requests that the caller be answered.
struct AnswerAction
{
    CallId call = 0;
    Outcome outcome;
};

/// An action that the engine's owner must perform. Call onAppendResult() with the result of an
/// append.
using ClaimAction = std::variant<AppendBatch, AskAction, SendAction, AnswerAction>;
using ClaimActions = std::vector<ClaimAction>;

/// Makes all decisions of one instance about non-repeatable calls. It processes events (a call, an
/// append's result, a page of the log, a holder's reply, an upstream's result, a timer) and returns
/// actions. Does no input or output and uses only the clock passed in. Not thread-safe.
class ClaimEngine
{
public:
    /// The origin must be a new random number for each start of an instance: it distinguishes the
    /// attempts of this process from those of earlier ones even if an incarnation number is reused.
    ClaimEngine(const ClaimSettings &settings, Holder self, std::uint64_t origin,
                const Core::Clock &clock);
    ClaimEngine(const ClaimEngine &) = delete;
    ClaimEngine &operator=(const ClaimEngine &) = delete;

    /// Starts a call. Its answer is returned in an AnswerAction, immediately or by a later event.
    ClaimActions begin(CallId call, const Call &request);
    /// Refuses a call and closes its key in the log unless another attempt holds it.
    ClaimActions beginClose(CallId call, const Call &request, Core::ErrorKind refusal);
    ClaimActions onAppendResult(std::uint64_t batchId, bool succeeded);
    ClaimActions onPage(std::size_t partition, const Platform::LogPage &page);
    ClaimActions onHolderReply(CallId call, const HolderReply &reply);
    ClaimActions onSendResult(CallId call, const SendResult &result);
    /// Handles an upstream's answer that arrived after the outcome was reported as lost.
    ClaimActions onLateAnswer(const ClaimKey &key, const AnswerPointer &answer);
    ClaimActions onTimer();
    /// Returns when onTimer() is due if no other event occurs first.
    std::optional<Core::Clock::Monotonic> nextDeadline() const;

    /// Returns the state of one of this instance's attempts, for a sibling that lost against it.
    HolderReply replyTo(const HolderQuery &query) const;
    /// Returns the execution status of a key as far as it is known locally, without waiting.
    Core::ExecutionStatus keyExecutionStatus(const ClaimKey &key) const;
    /// Returns the error for a call that is rejected early (overload, drain, log unavailable, not
    /// ready, expired key): this attempt did not run, and the key's status is what the log shows.
    Core::Error earlyRejection(Core::ErrorKind kind, const ClaimKey &key) const;

    std::size_t partitionOf(const ClaimKey &key) const;
    std::size_t partitionCount() const { return m_partitions.size(); }
    const ClaimPartition &partition(std::size_t n) const { return m_partitions[n]; }
    /// Whether every partition has been read to its end at least once.
    bool isCaughtUp() const;
    /// Returns the number of records that are not yet known to be in the log. A graceful shutdown
    /// waits until it is 0.
    std::size_t pendingRecords() const { return m_writer.pendingCount(); }
    const ClaimCounters &counters() const { return m_counters; }
    const Holder &self() const { return m_self; }
    std::uint64_t origin() const { return m_origin; }

    /// Returns the stream name of a partition. The name includes the partition count, so that
    /// instances with different settings never share a stream.
    static std::string streamName(const std::string &environment, std::size_t partition,
                                  std::size_t count);
    /// Returns the stream name of one of this engine's partitions.
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
