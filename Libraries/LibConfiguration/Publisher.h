#pragma once

#include <LibConfiguration/ConfigurationHistory.h>
#include <LibConfiguration/RetryDelay.h>
#include <LibCore/Clock.h>
#include <LibPlatform/LogService.h>

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <functional>
#include <optional>
#include <random>
#include <string>

namespace Configuration {

struct PublishRequest
{
    std::string environment;
    std::string bytes;
    /// The generation that the author edited; defaults to the active one.
    std::optional<Generation> replaces;
    std::string publisher;
    std::optional<PromotionSource> promotedFrom;
};

enum class PublishResult {
    /// The document was accepted.
    Accepted,
    /// Another publication replaced the generation first; this one can never become active.
    LostRace,
    /// The outcome was not known before the deadline; the document may still become active.
    Unknown,
};

struct PublishOutcome
{
    PublishResult result = PublishResult::Unknown;
    /// The active generation according to the last read of the log.
    Generation generation = 0;
    std::string digest;
    /// The publisher of the active generation, if known.
    std::string publisher;
};

/// Publishes documents and reads the outcome back from the log. When the answer to an append is
/// lost, the publisher searches the log for the record and appends it again if it is missing. Both
/// copies have the same publication id and replace the same generation, so at most one of them
/// takes effect.
class Publisher
{
public:
    struct Options
    {
        /// The time limit after which the outcome is reported as unknown.
        std::chrono::milliseconds timeout = std::chrono::seconds(30);
        std::chrono::milliseconds firstRetry = std::chrono::milliseconds(100);
        std::chrono::milliseconds maxRetryDelay = std::chrono::seconds(2);
    };

    Publisher(Platform::LogService &log, const Core::Clock &clock, std::mt19937_64 &random,
              Options options);

    /// Publishes a document and returns the outcome. Throws ConfigurationInvalid when the document
    /// has faults, ConfigurationConflict when the replaced generation is not active, and
    /// PlatformUnavailable when the log could not be read before the append.
    boost::asio::awaitable<PublishOutcome> publish(PublishRequest request);

    /// Restarts a stream whose remaining records no longer determine a state, by appending a
    /// renewal of the document. The generation must be above the active one of every instance.
    /// Throws like publish(), and throws ConfigurationConflict while the log still determines a
    /// state.
    boost::asio::awaitable<PublishOutcome> restart(PublishRequest request, Generation generation);

    using Visitor = std::function<void(const HistoryEntry &)>;
    /// Reads a history to the current end of the log and calls the visitor for each record. Throws
    /// PlatformUnavailable after the timeout.
    boost::asio::awaitable<void> readHistory(ConfigurationHistory &history, Visitor visitor);

private:
    boost::asio::awaitable<void> readToEnd(ConfigurationHistory &history, const Visitor &visitor);
    /// Appends the record and reads the log. Repeats both after failures until the visitor has set
    /// decided or the timeout expires.
    boost::asio::awaitable<void> appendUntil(const bool &decided, ConfigurationHistory &history,
                                             std::string record, const Visitor &observe);
    /// Waits before a retry; throws PlatformUnavailable when the deadline would pass.
    boost::asio::awaitable<void> waitForRetry(RetryDelay &delay, Core::Clock::Monotonic deadline);

    Platform::LogService &m_log;
    const Core::Clock &m_clock;
    std::mt19937_64 &m_random;
    const Options m_options;
};

} // namespace Configuration
