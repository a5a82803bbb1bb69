#pragma once

#include <LibConfiguration/ConfigurationHistory.h>
#include <LibConfiguration/RetryDelay.h>
#include <LibCore/Clock.h>
#include <LibCore/Identifier.h>
#include <LibCore/Snapshot.h>
#include <LibPlatform/LogService.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <chrono>
#include <functional>
#include <mutex>
#include <optional>
#include <random>
#include <string>

namespace Configuration {

struct ReaderOptions
{
    std::string environment;
    Core::InstanceId instance;
    /// The age of the newest complete copy of the document in the log at which the instances append
    /// another one. At most a quarter of the log's retention, so that the last copy does not expire
    /// during a long outage of the log.
    std::chrono::milliseconds renewalInterval = std::chrono::hours(1);
    /// The time that one read waits for a record.
    std::chrono::milliseconds readWait = std::chrono::seconds(5);
    std::chrono::milliseconds firstRetry = std::chrono::milliseconds(100);
    std::chrono::milliseconds maxRetryDelay = std::chrono::seconds(2);
    std::size_t pageRecords = 64;
};

struct ReaderHooks
{
    /// Called when a version becomes active on this instance. Calls are serialized, in ascending
    /// order of generation, and run on the thread that activates the version. The hook must not
    /// call adoptFromSibling().
    std::function<void(const ConfigurationVersion &)> onAccepted = [](const auto &) {};
    /// Called when a record is rejected.
    std::function<void(const HistoryEntry &)> onRefused = [](const auto &) {};
};

struct ReaderCounters
{
    std::atomic<std::uint64_t> reads {0};
    std::atomic<std::uint64_t> failures {0};
    std::atomic<std::uint64_t> records {0};
    std::atomic<std::uint64_t> renewals {0};
};

/// Keeps an instance's configuration synchronized with the log. While the log is unavailable, the
/// instance keeps its active configuration, and a starting instance can adopt that of a sibling.
/// current(), generation() and adoptFromSibling() are thread-safe; run() is called once, on one
/// strand.
class ConfigurationReader
{
public:
    ConfigurationReader(ReaderOptions options, Platform::LogService &log, const Core::Clock &clock,
                        std::mt19937_64 &random, ReaderHooks hooks);

    /// Follows the log until stop() is called. Does not throw when the log is unavailable.
    boost::asio::awaitable<void> run();
    /// Ends run() and cancels a retry delay. Must be called on the strand of run().
    void stop();

    /// Returns the active version of this instance; generation 0 without a document before the
    /// first one.
    ConfigurationVersionPointer current() const { return m_current.share(); }
    /// Calls the reader with the active version without reference counting, for use while handling
    /// requests. The reader must not suspend.
    template <typename Reader>
    auto read(Reader &&reader) const
    {
        return m_current.read(std::forward<Reader>(reader));
    }
    /// Returns the active generation, for sending to siblings; 0 means none.
    Generation generation() const { return m_generation.load(std::memory_order_acquire); }

    /// Adopts a document from a sibling when its generation is above the active one. A different
    /// document of the same generation in the log replaces it once the log can be read. Fails with
    /// ConfigurationInvalid when the document has faults. Returns whether the document became
    /// active.
    Core::Result<bool> adoptFromSibling(Generation generation, std::string bytes);

    const ReaderCounters &counters() const { return m_counters; }

private:
    boost::asio::awaitable<void> readOnce();
    boost::asio::awaitable<void> renewIfDue();
    boost::asio::awaitable<void> pause(std::chrono::milliseconds time);
    void apply(const HistoryEntry &entry);
    bool activate(ConfigurationVersionPointer version, bool fromLog);
    void noteFailure(const std::string &detail);
    void noteSuccess();

    const ReaderOptions m_options;
    Platform::LogService &m_log;
    const Core::Clock &m_clock;
    std::mt19937_64 &m_random;
    const ReaderHooks m_hooks;
    ConfigurationHistory m_history;
    RetryDelay m_retry;
    boost::asio::steady_timer *m_timer = nullptr;
    bool m_caughtUp = false;
    bool m_isLogUnavailable = false;
    std::optional<Core::Clock::Monotonic> m_lastRenewal;
    std::atomic<bool> m_stopping {false};
    std::mutex m_activationMutex;
    Core::Snapshot<ConfigurationVersion> m_current;
    std::atomic<Generation> m_generation {0};
    ReaderCounters m_counters;
};

} // namespace Configuration
