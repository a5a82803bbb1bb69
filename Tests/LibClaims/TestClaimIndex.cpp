#include <LibClaims/ClaimCodec.h>
#include <LibClaims/ClaimPartition.h>

#include <catch2/catch.hpp>

#include <random>

using namespace Claims;
using namespace std::chrono_literals;

namespace {

constexpr IssueTime Epoch(1'700'000'000'000ms);

KeyWindow testWindow()
{
    return KeyWindow::create(60s, 2s, 100s, 10s).value();
}

ClaimRecord record(RecordKind kind, int attempt, int key = 0, std::uint64_t digest = 7)
{
    const ClaimKey claimKey {Core::TeamId("t"), "k" + std::to_string(key), Epoch};
    return {kind,
            claimKey,
            digest,
            {1, static_cast<std::uint64_t>(attempt)},
            {Core::InstanceId("i"), 1}};
}

struct Decision
{
    Platform::LogOffset offset = 0;
    AttemptId attempt;
    VerdictKind kind = VerdictKind::AttemptEnded;
    friend bool operator==(const Decision &, const Decision &) = default;
};

/// Generates a random stream: claims and copies of them, voids before and after their claims,
/// closes, finished records, malformed appends, and issue times inside and outside the window.
std::vector<Platform::LogRecord> randomStream(std::mt19937_64 &rng, std::size_t count)
{
    std::vector<Platform::LogRecord> stream;
    auto time = std::chrono::system_clock::time_point(Epoch);
    for (std::size_t n = 0; n < count; ++n) {
        time += std::chrono::milliseconds(rng() % 2000);
        // The order in which arguments are evaluated differs between processors.
        const std::uint64_t digest = rng() % 8 ? 7 : 8;
        const auto sequence = static_cast<int>(rng() % 40);
        const auto kind = static_cast<RecordKind>(1 + std::min<std::uint64_t>(3, rng() % 8 / 2));
        auto it = record(kind, sequence, 0, digest);
        // An attempt belongs to one key, and a key has one issue time.
        const auto key = it.attempt.sequence % 13;
        it.key.text = "k" + std::to_string(key);
        it.key.issuedAt = Epoch + std::chrono::seconds(key * count / 13);
        auto data = rng() % 10 ? encodeBatch({&it, 1}) : std::string("garbage");
        stream.push_back({n, time, std::move(data)});
    }
    return stream;
}

std::vector<Decision> readAll(const std::vector<Platform::LogRecord> &stream,
                              Platform::LogOffset first, Platform::LogOffset next,
                              std::mt19937_64 &rng, bool onlyCertain = false)
{
    ClaimPartition reader(testWindow());
    std::vector<Decision> decisions;
    while (reader.nextOffset() < next) {
        Platform::LogPage page {first, next, {}};
        const auto from = std::max(first, reader.nextOffset());
        const auto until = std::min<Platform::LogOffset>(next, from + 1 + rng() % 7);
        page.records.assign(stream.begin() + static_cast<std::ptrdiff_t>(from),
                            stream.begin() + static_cast<std::ptrdiff_t>(until));
        Platform::LogOffset offset = from;
        reader.consume(page, {}, [&](const ClaimRecord &it, const Verdict &verdict) {
            while (decodeBatch(stream[offset].data) != std::vector {it})
                ++offset;
            const bool certain = reader.index().isCertain(it.key.issuedAt);
            if (it.kind == RecordKind::Claim && (certain || !onlyCertain))
                decisions.push_back({offset, it.attempt, verdict.kind});
            ++offset;
        });
    }
    return decisions;
}

} // namespace

TEST_CASE("the first valid claim wins, and a copy of a claim counts as the same claim")
{
    ClaimIndex index(testWindow());
    CHECK(index.apply(record(RecordKind::Claim, 1), Epoch).kind == VerdictKind::Won);
    CHECK(index.apply(record(RecordKind::Claim, 2), Epoch).kind == VerdictKind::Lost);
    CHECK(index.apply(record(RecordKind::Claim, 1), Epoch).kind == VerdictKind::Won);
    CHECK(index.apply(record(RecordKind::Claim, 3, 0, 8), Epoch).kind == VerdictKind::Conflict);
    index.apply(record(RecordKind::Void, 1), Epoch);
    // The attempt that lost has already answered its caller, so a copy of its claim must not win.
    CHECK(index.apply(record(RecordKind::Claim, 2), Epoch).kind == VerdictKind::AttemptEnded);
    CHECK(index.apply(record(RecordKind::Claim, 4), Epoch).kind == VerdictKind::Won);
}

TEST_CASE("a void that precedes its claim in the log still voids it")
{
    ClaimIndex index(testWindow());
    index.apply(record(RecordKind::Void, 1), Epoch);
    CHECK(index.apply(record(RecordKind::Claim, 1), Epoch).kind == VerdictKind::AttemptEnded);
    CHECK(index.apply(record(RecordKind::Claim, 2), Epoch).kind == VerdictKind::Won);
}

TEST_CASE("a close applies to a free key or its own attempt's key, not to a key of another attempt")
{
    ClaimIndex index(testWindow());
    index.apply(record(RecordKind::Claim, 1), Epoch);
    CHECK(index.apply(record(RecordKind::Close, 2), Epoch).kind == VerdictKind::Lost);
    CHECK(index.apply(record(RecordKind::Close, 1), Epoch).kind == VerdictKind::KeyClosed);
    CHECK(index.apply(record(RecordKind::Claim, 3), Epoch).kind == VerdictKind::KeyClosed);
    CHECK(index.apply(record(RecordKind::Close, 4, 1), Epoch).kind == VerdictKind::KeyClosed);
    index.apply(record(RecordKind::Finished, 5, 2), Epoch);
    CHECK(index.apply(record(RecordKind::Close, 6, 2), Epoch).kind == VerdictKind::KeyFinished);
}

TEST_CASE("a claim outside its key's window has no effect")
{
    ClaimIndex index(testWindow());
    CHECK(index.apply(record(RecordKind::Claim, 1), Epoch - 3s).kind == VerdictKind::InFuture);
    CHECK(index.apply(record(RecordKind::Claim, 2), Epoch).kind == VerdictKind::Won);
    CHECK(index.apply(record(RecordKind::Claim, 3), Epoch + 61s).kind == VerdictKind::Expired);
    CHECK_FALSE(index.find(record(RecordKind::Claim, 3).key));
}

TEST_CASE("the index removes expired keys within one sweep interval")
{
    ClaimIndex index(testWindow());
    for (int n = 0; n < 1000; ++n) {
        auto it = record(RecordKind::Claim, n, n);
        it.key.issuedAt = Epoch + n * 1s;
        index.apply(it, it.key.issuedAt);
    }
    // Sixty unexpired keys plus those that expire within one sweep interval.
    CHECK(index.keyCount() <= 66);
}

TEST_CASE("after a gap, keys that the missing records may have affected are uncertain")
{
    ClaimPartition reader(testWindow());
    auto it = record(RecordKind::Claim, 1);
    VerdictKind lastVerdict {};
    const auto recordVerdict = [&](const ClaimRecord &, const Verdict &verdict) {
        lastVerdict = verdict.kind;
    };
    reader.consume({5, 6, {{5, Epoch + 10s, encodeBatch({&it, 1})}}}, Epoch, recordVerdict);
    CHECK(lastVerdict == VerdictKind::Uncertain);
    it = record(RecordKind::Claim, 2, 1);
    it.key.issuedAt = Epoch + 13s;
    reader.consume({5, 7, {{6, Epoch + 13s, encodeBatch({&it, 1})}}}, Epoch, recordVerdict);
    CHECK(lastVerdict == VerdictKind::Won);
    CHECK(reader.rebuildCount() == 1);
}

TEST_CASE("any two readers reach the same verdicts, whatever records they lost")
{
    for (std::uint64_t seed = 0; seed < 200; ++seed) {
        INFO("seed " << seed);
        std::mt19937_64 rng(seed);
        const auto stream = randomStream(rng, 150);
        const auto all = readAll(stream, 0, stream.size(), rng);
        CHECK(all == readAll(stream, 0, stream.size(), rng));
        // Later records do not change earlier verdicts.
        const auto until = rng() % stream.size();
        const auto prefix = readAll(stream, 0, until, rng);
        REQUIRE(prefix.size() <= all.size());
        CHECK(std::equal(prefix.begin(), prefix.end(), all.begin()));
        // A reader that starts late reaches the same verdict for every key it considers certain.
        const auto from = rng() % stream.size();
        for (const auto &it : readAll(stream, from, stream.size(), rng, true))
            CHECK(std::find(all.begin(), all.end(), it) != all.end());
    }
}

TEST_CASE("batches preserve all fields, and decoding damaged bytes is safe")
{
    std::mt19937_64 rng(3);
    const std::vector records {record(RecordKind::Claim, 1), record(RecordKind::Void, 2, 5)};
    const auto bytes = encodeBatch(records);
    CHECK(decodeBatch(bytes) == records);
    // A cut that removes only padding may still decode.
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        const auto cut = decodeBatch(std::string_view(bytes).substr(0, n));
        CHECK((!cut || (cut == records && n + 4 > bytes.size())));
    }
    for (int n = 0; n < 2000; ++n) {
        auto damaged = bytes;
        damaged[rng() % damaged.size()] = static_cast<char>(rng());
        CHECK_NOTHROW(decodeBatch(damaged));
    }
}
