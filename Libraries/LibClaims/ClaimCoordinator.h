#pragma once

#include <LibClaims/ClaimEngine.h>
#include <LibPlatform/LogService.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/experimental/concurrent_channel.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace Claims {

/// Connects a ClaimEngine to the platform's log, the peer link and the upstreams. Thread-safe. Its
/// coroutines keep it alive until they end after stop().
class ClaimCoordinator : public std::enable_shared_from_this<ClaimCoordinator>
{
public:
    /// Sends the request to an upstream at most once and returns the result. An exception counts as
    /// OutcomeLost. The coroutine keeps running after the caller has disconnected, so it must own
    /// everything it uses.
    using SendOnce = std::function<boost::asio::awaitable<SendResult>()>;
    /// Queries a sibling over the peer link; the sibling answers with replyTo(). Returns
    /// Unreachable if no reply arrives in time, and Gone if the holder's incarnation is known to
    /// have ended. An exception counts as Unreachable.
    using AskHolder = std::function<boost::asio::awaitable<HolderReply>(HolderQuery)>;

    /// Errors: SettingsInvalid if the settings allow no partitions or no appends. The executor's
    /// context, the log and the clock must outlive the coordinator.
    static Core::Result<std::shared_ptr<ClaimCoordinator>>
    create(boost::asio::any_io_executor executor, const ClaimSettings &settings, Holder self,
           Platform::LogService &log, const Core::Clock &clock, AskHolder askHolder);

    /// Starts reading the partitions and appending records.
    void start();
    /// Signals the coroutines of start() to end. For a graceful shutdown, wait first until
    /// pendingRecords() is 0.
    void stop();

    /// Runs a non-repeatable call, or returns the result of an earlier attempt of the same key.
    /// Refusals are returned as outcomes, not thrown.
    boost::asio::awaitable<Outcome> run(Call call, SendOnce sendOnce);
    /// Refuses a call and closes its key, which guarantees that the call never runs. Costs an
    /// append, so use it only for refusals that a resend of the same key would not change.
    boost::asio::awaitable<Outcome> closeAndRefuse(Call call, Core::ErrorKind refusal);
    /// Returns the error for a call that is rejected early, including the key's known status.
    Core::Error earlyRejection(Core::ErrorKind kind, const ClaimKey &key) const;
    /// Returns the reply to a sibling's query.
    HolderReply replyTo(const HolderQuery &query) const;
    /// Accepts an upstream's answer that arrived after the outcome was reported as lost.
    void lateAnswer(const ClaimKey &key, const AnswerPointer &answer);

    /// Whether every partition has been read to its end at least once.
    bool isCaughtUp() const;
    /// Returns the number of records that are not yet known to be in the log.
    std::size_t pendingRecords() const;
    /// Returns the heap size of all claim indexes in bytes.
    std::size_t indexBytes() const;
    const ClaimCounters &counters() const { return m_engine.counters(); }

private:
    using Mailbox =
        boost::asio::experimental::concurrent_channel<void(boost::system::error_code, Outcome)>;
    struct RunningCall
    {
        std::shared_ptr<Mailbox> mailbox;
        SendOnce sendOnce;
    };

    ClaimCoordinator(boost::asio::any_io_executor executor, const ClaimSettings &settings,
                     Holder self, Platform::LogService &log, const Core::Clock &clock,
                     AskHolder askHolder);

    std::shared_ptr<Mailbox> registerCall(CallId id, SendOnce sendOnce);
    boost::asio::awaitable<void> readPartition(std::size_t partition);
    boost::asio::awaitable<bool> readOnce(std::size_t partition);
    boost::asio::awaitable<void> runTimers();
    boost::asio::awaitable<void> append(AppendBatch batch);
    boost::asio::awaitable<void> ask(AskAction action);
    boost::asio::awaitable<void> send(CallId id, SendOnce sendOnce);
    void processEvent(const std::function<ClaimActions(ClaimEngine &)> &event);
    std::chrono::nanoseconds armTimer();
    void execute(ClaimActions actions);
    void spawn(const boost::asio::any_io_executor &executor,
               boost::asio::awaitable<void> coroutine);
    void startSending(CallId id);
    void deliver(AnswerAction action);
    void wakeTimer();

    boost::asio::any_io_executor m_executor;
    boost::asio::strand<boost::asio::any_io_executor> m_timerStrand;
    boost::asio::steady_timer m_timer;
    Platform::LogService &m_log;
    const Core::Clock &m_clock;
    AskHolder m_askHolder;
    std::atomic<bool> m_stopping {false};
    mutable std::mutex m_engineMutex;
    ClaimEngine m_engine;
    /// When the timer expires next. Guarded by m_engineMutex.
    Core::Clock::Monotonic m_wakeAt {};
    std::mutex m_callsMutex;
    std::unordered_map<CallId, RunningCall> m_calls;
    std::atomic<CallId> m_nextCall {1};
};

} // namespace Claims
