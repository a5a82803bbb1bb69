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

/// Drives a ClaimEngine with the platform's log, the peer link and the upstreams. Safe from any
/// thread. Its coroutines keep it alive until they end after stop().
class ClaimCoordinator : public std::enable_shared_from_this<ClaimCoordinator>
{
public:
    /// Sends the request to an upstream at most once and tells exactly what came of it. An
    /// exception counts as an outcome lost. It goes on when the caller goes away, and must
    /// therefore own what it uses.
    using SendOnce = std::function<boost::asio::awaitable<SendResult>()>;
    /// Asks a sibling over the peer link; the sibling answers with replyTo(). Unreachable when no
    /// reply came in time, Gone when that life of the instance is known to be over. An exception
    /// counts as Unreachable.
    using AskHolder = std::function<boost::asio::awaitable<HolderReply>(HolderQuery)>;

    /// Refuses settings without partitions or appends (SettingsInvalid). The executor's
    /// context, the log and the clock must outlive the coordinator.
    static Core::Result<std::shared_ptr<ClaimCoordinator>>
    create(boost::asio::any_io_executor executor, const ClaimSettings &settings, Holder self,
           Platform::LogService &log, const Core::Clock &clock, AskHolder askHolder);

    /// Starts to read the partitions and to append.
    void start();
    /// Ends the coroutines of start() soon. For a graceful shutdown, wait until pendingRecords()
    /// is 0 first.
    void stop();

    /// Runs a non-repeatable call, or learns what became of it. Does not throw for refusals: they
    /// are outcomes.
    boost::asio::awaitable<Outcome> run(Call call, SendOnce sendOnce);
    /// Refuses a call and seals its key, so that the refusal promises that nothing will ever run.
    /// Costs an append: for refusals that a resend of the same key could not change.
    boost::asio::awaitable<Outcome> closeAndRefuse(Call call, Core::ErrorKind refusal);
    /// The error for a call rejected early, with what is known of the key.
    Core::Error earlyRejection(Core::ErrorKind kind, const ClaimKey &key) const;
    /// What a sibling that asks is told.
    HolderReply replyTo(const HolderQuery &query) const;
    /// Takes an upstream's answer that came after its outcome was given up as lost.
    void lateAnswer(const ClaimKey &key, const AnswerPointer &answer);

    /// Whether every partition was read to its end once.
    bool isCaughtUp() const;
    /// Records not yet known to be in the log.
    std::size_t pendingRecords() const;
    /// Heap bytes of the claim indexes.
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
    /// When the timer wakes; guarded by the engine's mutex.
    Core::Clock::Monotonic m_wakeAt {};
    std::mutex m_callsMutex;
    std::unordered_map<CallId, RunningCall> m_calls;
    std::atomic<CallId> m_nextCall {1};
};

} // namespace Claims
