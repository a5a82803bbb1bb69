#pragma once

#include <LibClaims/ClaimIndex.h>
#include <LibPlatform/LogRecord.h>

#include <chrono>
#include <cstdint>
#include <functional>

namespace Claims {

/// Reads one claims stream into an index: keeps the position, passes over garbage, and rebuilds
/// conservatively when records are missing. Does no input or output. Not safe from several threads.
class ClaimPartition
{
public:
    using RecordHook = std::function<void(const ClaimRecord &, const Verdict &)>;

    explicit ClaimPartition(const KeyWindow &window)
        : m_index(window)
    { }

    /// Takes a page that was read from nextOffset() on. The hook is called for each record with the
    /// decision on it. wallNow bounds the time of lost records when the page has none to tell.
    void consume(const Platform::LogPage &page, std::chrono::system_clock::time_point wallNow,
                 const RecordHook &onRecord);

    /// The offset to read from.
    Platform::LogOffset nextOffset() const { return m_nextOffset; }
    /// Whether the stream was once read to its end, as a new instance must before it knows the
    /// stream's keys.
    bool isCaughtUp() const { return m_caughtUp; }
    const ClaimIndex &index() const { return m_index; }
    /// Appends that did not decode.
    std::uint64_t malformedCount() const { return m_malformed; }
    /// How often records were missing.
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
