#pragma once

#include <LibClaims/ClaimIndex.h>
#include <LibPlatform/LogRecord.h>

#include <chrono>
#include <cstdint>
#include <functional>

namespace Claims {

/// Applies one claims stream to an index. Tracks the read offset, skips malformed appends, and
/// resets the index when records are missing. Does no input or output. Not thread-safe.
class ClaimPartition
{
public:
    using RecordHook = std::function<void(const ClaimRecord &, const Verdict &)>;

    explicit ClaimPartition(const KeyWindow &window)
        : m_index(window)
    { }

    /// Applies a page that was read starting at nextOffset(). Calls the hook for each record with
    /// its verdict. If records were lost and the page is empty, wallNow is the latest time at which
    /// the lost records can have been written.
    void consume(const Platform::LogPage &page, std::chrono::system_clock::time_point wallNow,
                 const RecordHook &onRecord);

    /// The offset at which the next read must start.
    Platform::LogOffset nextOffset() const { return m_nextOffset; }
    /// Whether the stream has been read to its end at least once since the start or the last
    /// rebuild. Before that, the index does not contain all keys of the stream.
    bool isCaughtUp() const { return m_caughtUp; }
    const ClaimIndex &index() const { return m_index; }
    /// The number of appends that could not be decoded.
    std::uint64_t malformedCount() const { return m_malformed; }
    /// The number of times that records were missing.
    std::uint64_t rebuildCount() const { return m_rebuilds; }

private:
    void rebuild(const Platform::LogPage &page, std::chrono::system_clock::time_point wallNow);

    ClaimIndex m_index;
    Platform::LogOffset m_nextOffset = 0;
    bool m_caughtUp = false;
    std::uint64_t m_malformed = 0;
    std::uint64_t m_rebuilds = 0;
};

} // namespace Claims
