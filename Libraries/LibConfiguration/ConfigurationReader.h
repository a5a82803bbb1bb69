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
    /// How old the newest whole copy of the document in the log may grow before the instances
    /// append another one. At most a quarter of the log's retention, so that a long outage of the
    /// log does not let the last copy lapse.
    std::chrono::milliseconds renewalInterval = std::chrono::hours(1);
    /// How long one read waits for a record.
    std::chrono::milliseconds readWait = std::chrono::seconds(5);
    std::chrono::milliseconds firstRetry = std::chrono::milliseconds(100);
    std::chrono::milliseconds maxRetryDelay = std::chrono::seconds(2);
    std::size_t pageRecords = 64;
};

struct ReaderHooks
{
    /// A version came into force here. Called one at a time and in rising order, from the thread
    /// that brought it; must not call adoptFromSibling().
    std::function<void(const ConfigurationVersion &)> onAccepted = [](const auto &) {};
    /// A record was refused.
    std::function<void(const HistoryEntry &)> onRefused = [](const auto &) {};
};

struct ReaderCounters
{
    std::atomic<std::uint64_t> reads {0};
    std::atomic<std::uint64_t> failures {0};
    std::atomic<std::uint64_t> records {0};
    std::atomic<std::uint64_t> renewals {0};
};

/// Keeps an instance's configuration in step with the log. With the log out the instance goes on
/// with what is in force, and a starting one may take a sibling's. current(), generation() and
/// adoptFromSibling() are safe from any thread; run() runs once, on one strand.
class ConfigurationReader
{
public:
    ConfigurationReader(ReaderOptions options, Platform::LogService &log, const Core::Clock &clock,
                        std::mt19937_64 &random, ReaderHooks hooks);

    /// Follows the log until stop(). Never throws for an outage of the log.
    boost::asio::awaitable<void> run();
    /// Ends run() after its present wait. Call on the strand of run().
    void stop();

    /// What is in force on this instance. Generation 0 without a document before the first.
    ConfigurationVersionPointer current() const { return m_current.share(); }
    /// Calls the reader with the version in force, without counting references: for the path of a
    /// request. The reader must not suspend.
    template <typename Reader>
    auto read(Reader &&reader) const
    {
        return m_current.read(std::forward<Reader>(reader));
    }
    /// The generation in force, to hand to siblings; 0 means none.
    Generation generation() const { return m_generation.load(std::memory_order_acquire); }

    /// Takes a document from a sibling when its generation is above the one in force here. The
    /// log's word replaces it as soon as it can be read. Fails with ConfigurationInvalid when the
    /// document has faults. Returns whether it came into force.
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
