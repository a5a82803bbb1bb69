#pragma once

#include <LibCore/Clock.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <span>
#include <unordered_map>
#include <vector>

namespace Admission {

/// The hash of a complete request. Requests that merely share a prefix have different digests.
using RequestDigest = std::uint64_t;

/// A crash of an upstream on which a request was running.
struct CrashRecord
{
    /// Identifies the crash: a hash of the upstream and of the incarnation that crashed, so that
    /// all instances that observed it use the same value.
    std::uint64_t crash = 0;
    Core::Clock::Wall time;

    friend bool operator==(const CrashRecord &, const CrashRecord &) = default;
};

/// The record of one request digest, as exchanged between siblings.
struct SuspectRecord
{
    RequestDigest digest = 0;
    /// The crashes, newest first; at most SuspectSettings::crashLimit.
    std::vector<CrashRecord> crashes;
    /// Crashes up to this time are ignored because a request with the digest was answered then.
    Core::Clock::Wall clearedAt;

    friend bool operator==(const SuspectRecord &, const SuspectRecord &) = default;
};

/// Whether a request may run, given the crashes recorded for its digest.
enum class SuspectVerdict {
    Clear,
    /// The request may run, but never on the same upstream as another suspect, so that the next
    /// crash shows which request caused it.
    Suspect,
    /// The request must be refused with ErrorKind::PoisonRequest.
    Poison,
};

struct SuspectSettings
{
    /// The number of crashes after which a digest is refused; bounds how many upstreams it can
    /// crash.
    std::size_t crashLimit = 3;
    /// The time after which a crash is no longer counted.
    std::chrono::seconds window {600};
    /// The maximum number of digests; the one whose newest crash is the oldest is evicted first.
    std::size_t capacity = 4096;
};

/// Tracks the requests that were running on upstreams when these crashed. Merging records of
/// siblings is commutative, associative and idempotent, so records may be resent, reordered and
/// forwarded. Thread-safe. While the table is empty, check() only reads one atomic.
class SuspectTable
{
public:
    /// The clock must outlive the table.
    SuspectTable(const Core::Clock &clock, const SuspectSettings &settings);

    SuspectVerdict check(RequestDigest digest) const;
    /// Records a crash for every request that was running on the upstream, including requests from
    /// other instances.
    void noteCrash(std::uint64_t crash, std::span<const RequestDigest> running);
    /// Records that a request with the digest was answered completely, so that it did not cause the
    /// earlier crashes.
    void noteAnswered(RequestDigest digest);

    /// Returns up to `limit` records, those with the newest crashes first.
    std::vector<SuspectRecord> records(std::size_t limit) const;
    void merge(std::span<const SuspectRecord> records);

private:
    void mergeLocked(const SuspectRecord &record);
    bool isCounted(const CrashRecord &crashRecord, const SuspectRecord &record) const;
    void evictLocked();

    const Core::Clock &m_clock;
    const SuspectSettings m_settings;
    mutable std::mutex m_mutex;
    std::unordered_map<RequestDigest, SuspectRecord> m_records;
    std::atomic<std::size_t> m_size {0};
};

} // namespace Admission
