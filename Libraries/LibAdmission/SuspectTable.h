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

/// Hash of a whole request, so that requests that only share a prefix differ.
using RequestDigest = std::uint64_t;

/// One upstream crash while a request ran on it.
struct CrashRecord
{
    /// Names the crash: the same for every instance that saw it, a hash of the upstream and the
    /// incarnation that ended.
    std::uint64_t crash = 0;
    Core::Clock::Wall time;

    friend bool operator==(const CrashRecord &, const CrashRecord &) = default;
};

/// What is known of one digest, as siblings exchange it.
struct SuspectRecord
{
    RequestDigest digest = 0;
    /// The newest crashes first; at most the limit.
    std::vector<CrashRecord> crashes;
    /// Crashes up to this time do not count: a request of the digest was answered then.
    Core::Clock::Wall clearedAt;

    friend bool operator==(const SuspectRecord &, const SuspectRecord &) = default;
};

/// What may be done with a request.
enum class SuspectVerdict {
    Clear,
    /// May run, but never on one upstream together with another suspect, so that the next crash
    /// tells which of them is to blame.
    Suspect,
    /// Must be refused with PoisonRequest.
    Poison,
};

struct SuspectSettings
{
    /// Crashes after which a digest is refused; the number of upstreams one digest can cost.
    std::size_t crashLimit = 3;
    /// Time after which a crash is forgotten.
    std::chrono::seconds window {600};
    /// Digests kept; the one with the oldest crash goes first.
    std::size_t capacity = 4096;
};

/// Requests that ran on upstreams that crashed. Merging siblings' records is commutative,
/// associative and idempotent, so that records may be resent, reordered and passed on. Safe from
/// any thread; while the table is empty a check reads one atomic.
class SuspectTable
{
public:
    /// The clock must outlive the table.
    SuspectTable(const Core::Clock &clock, const SuspectSettings &settings);

    SuspectVerdict check(RequestDigest digest) const;
    /// Notes a crash against every request that ran on the upstream, this instance's own or not.
    void noteCrash(std::uint64_t crash, std::span<const RequestDigest> running);
    /// A request of the digest got its whole answer, so that earlier crashes were not its fault.
    void noteAnswered(RequestDigest digest);

    /// Up to `limit` records, those with the newest crashes first.
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
