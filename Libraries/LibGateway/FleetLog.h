#pragma once

#include <LibCore/Clock.h>

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Gateway {

/// The logs of the platform's store that the fleet works with.
enum class FleetTopic {
    /// What operators decide, by key.
    Operator,
    /// What upstreams say of themselves, by key.
    Upstreams,
    /// What the instances tell each other: members, leases, breaks.
    Journal,
    /// The newest snapshot of what engines and stores of parts are believed to keep, under one key.
    CacheSnapshots,
};

/// One record. Topics that keep the newest record of each key set the key; a record without a value
/// drops its key.
struct FleetRecord
{
    std::uint64_t offset = 0;
    std::string key;
    std::optional<std::string> value;
};

/// What one read returns.
struct FleetPage
{
    /// Where the next read goes on.
    std::uint64_t next = 0;
    /// Whether records from the offset asked for on are gone, so that the reader has to begin anew.
    bool isHistoryTruncated = false;
    /// Whether the page reaches the log's end, so that nothing newer was there.
    bool isComplete = true;
    /// When the store was asked for what the page tells, by this instance's clock. Set by
    /// SharedLog.
    Core::Clock::Monotonic asOf;
    /// When the store last gave whoever read it no answer; the least time when it never did. Set by
    /// SharedLog.
    Core::Clock::Monotonic lastStoreFailure = Core::Clock::Monotonic::min();
    std::vector<FleetRecord> records;
};

/// What became of an append.
struct AppendOutcome
{
    bool isAppended = false;
    /// The record's offset, or the log's end when the condition did not hold.
    std::uint64_t offset = 0;
};

/// The store's logs. All calls throw Error(PlatformUnavailable) when no answer came; an append may
/// then have taken effect, or take effect later.
class FleetLog
{
public:
    virtual ~FleetLog() = default;

    /// The newest record of each key. Pages of it are no snapshot: reading on from next shows what
    /// changed meanwhile.
    virtual boost::asio::awaitable<FleetPage> newest(FleetTopic topic) = 0;
    /// Records from an offset on. With nothing to read, waits for at most the given time.
    virtual boost::asio::awaitable<FleetPage> read(FleetTopic topic, std::uint64_t from,
                                                   std::chrono::milliseconds wait) = 0;
    /// Appends a record, only if the log ends at the given offset where one is given.
    virtual boost::asio::awaitable<AppendOutcome>
    append(FleetTopic topic, std::string value, std::optional<std::uint64_t> expectedEnd) = 0;
};

} // namespace Gateway
