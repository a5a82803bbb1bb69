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
    /// The generation that the author edited; the one in force when nothing is given.
    std::optional<Generation> replaces;
    std::string publisher;
    std::optional<PromotionSource> promotedFrom;
};

enum class PublishResult {
    /// The log has accepted the document.
    Accepted,
    /// Another publication replaced the generation first; this one can never come into force.
    LostRace,
    /// Nothing was found out before the deadline; the document may still come into force.
    Unknown,
};

struct PublishOutcome
{
    PublishResult result = PublishResult::Unknown;
    /// The generation in force by the log, as last read.
    Generation generation = 0;
    std::string digest;
    /// Who published the generation in force, where that is known.
    std::string publisher;
};

/// Publishes documents and reads back what the log has decided. An append whose answer was lost is
/// looked for in the log and appended again when it is not there; both copies carry the same
/// publication id and replace the same generation, so at most one of them counts.
class Publisher
{
public:
    struct Options
    {
        /// How long to try before the outcome is given up as unknown.
        std::chrono::milliseconds timeout = std::chrono::seconds(30);
        std::chrono::milliseconds firstRetry = std::chrono::milliseconds(100);
        std::chrono::milliseconds maxRetryDelay = std::chrono::seconds(2);
    };

    Publisher(Platform::LogService &log, const Core::Clock &clock, std::mt19937_64 &random,
              Options options);

    /// Publishes and learns the verdict. Throws ConfigurationInvalid for a document with faults,
    /// ConfigurationConflict when the replaced generation is not in force, and PlatformUnavailable
    /// when the log could not be read before anything was appended.
    boost::asio::awaitable<PublishOutcome> publish(PublishRequest request);

    /// Starts a stream over whose records no longer lead to a state, by a renewal of the document
    /// at a generation above all that any instance has in force. Throws as publish() does, and
    /// ConfigurationConflict while the log still leads to a state.
    boost::asio::awaitable<PublishOutcome> restart(PublishRequest request, Generation generation);

    using Visitor = std::function<void(const HistoryEntry &)>;
    /// Reads a history on to its present end, calling the visitor for each record. Throws
    /// PlatformUnavailable after the patience has run out.
    boost::asio::awaitable<void> readHistory(ConfigurationHistory &history, Visitor visitor);

private:
    boost::asio::awaitable<void> readToEnd(ConfigurationHistory &history, const Visitor &visitor);
    /// Appends the record and reads the log on, again and again until the visitor's work is done or
    /// the patience has run out.
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
