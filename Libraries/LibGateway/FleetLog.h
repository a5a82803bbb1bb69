#pragma once

#include <LibCore/Clock.h>
#include <LibGateway/LogPosition.h>

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Gateway {

/// The logs of the platform's store that the fleet uses.
enum class FleetTopic {
    /// Records that operators write, by key.
    Operator,
    /// Reports of upstreams, by key.
    Upstreams,
    /// Records that instances exchange: members, leases and upstream failures.
    Journal,
    /// The newest snapshot of the prefix-cache estimates of engines and KV cache stores, under one
    /// key.
    CacheSnapshots,
};

/// A record of a log. Topics that retain the newest record of each key set the key; a record
/// without a value deletes its key.
struct FleetRecord
{
    /// In a list of the newest records, 0 if it is not known.
    LogPosition position;
    std::string key;
    std::optional<std::string> value;
};

/// The result of one read.
struct FleetPage
{
    /// The offset of the next read.
    LogPosition next;
    /// Whether records at the requested position were already removed from the log, or the position
    /// is of an earlier era, so that the reader may have missed some and has to start again.
    bool isHistoryTruncated = false;
    /// Whether the page reaches the end of the log.
    bool isComplete = true;
    /// The time at which the store was queried for the contents of the page, by the clock of this
    /// instance. Set by SharedLog.
    Core::Clock::Monotonic asOf;
    /// Whether a sibling answered. Set by SharedLog.
    bool isFromSibling = false;
    /// The time at which the store answered; the minimum time for a page of a sibling. Set by
    /// SharedLog.
    Core::Clock::Monotonic answeredAt = Core::Clock::Monotonic::min();
    /// The time of the last failed store read of the instance that read the page; the minimum time
    /// when there was none. Set by SharedLog.
    Core::Clock::Monotonic lastStoreFailure = Core::Clock::Monotonic::min();
    std::vector<FleetRecord> records;
};

/// The outcome of an append.
struct AppendOutcome
{
    bool isAppended = false;
    /// The position of the record, or the end of the log when it differs from the expected end. In
    /// a later era than that of the expected end, the record may stand in the log all the same.
    LogPosition position;
};

/// The logs of the store. All calls throw Error(PlatformUnavailable) when there is no answer; an
/// append may then have taken effect, or take effect later.
class FleetLog
{
public:
    virtual ~FleetLog() = default;

    /// Returns the newest record of each key. The result is not an atomic snapshot: reading from
    /// `next` returns the changes made meanwhile.
    virtual boost::asio::awaitable<FleetPage> newest(FleetTopic topic) = 0;
    /// Returns the records from an offset on. If there are none, waits for a new one for at most
    /// the given time.
    virtual boost::asio::awaitable<FleetPage> read(FleetTopic topic, LogPosition from,
                                                   std::chrono::milliseconds wait) = 0;
    /// Appends a record. With an expected end, appends only if the log ends at that offset.
    virtual boost::asio::awaitable<AppendOutcome>
    append(FleetTopic topic, std::string value, std::optional<LogPosition> expectedEnd) = 0;
    /// Closes the connections that no call uses, so that the next calls are made on new ones. For a
    /// log that is not reached over connections, this has no effect.
    virtual void dropIdleConnections() { }
};

} // namespace Gateway
