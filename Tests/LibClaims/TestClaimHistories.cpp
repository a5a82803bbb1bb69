#include <LibClaims/ClaimHistory.h>
#include <LibCore/EventLog.h>
#include <LibCore/Hash.h>

#include <catch2/catch.hpp>

#include <algorithm>

namespace {

constexpr std::uint64_t HistoryCount = 4000;
constexpr std::uint64_t MutatedHistoryCount = 800;
// A mutation that fewer histories show is hardly tested.
constexpr std::size_t MinMutatedHistories = 20;

/// The number of histories with a violation, and that of violations.
struct Found
{
    std::size_t histories = 0;
    std::size_t violations = 0;
};

/// Counts the violations whose description contains the given words, over all mutated histories,
/// with one mechanism disabled.
Found findWith(Mutation mutation, const std::string &words)
{
    Core::configureEventLog(Core::LogFormat::Text, Core::EventLevel::Error);
    Found found;
    for (std::uint64_t seed = 0; seed < MutatedHistoryCount; ++seed) {
        const auto violations = ClaimHistory(seed, mutation).run().violations;
        const auto n = static_cast<std::size_t>(
            std::count_if(violations.begin(), violations.end(), [&words](const auto &it) {
                return it.find(words) != std::string::npos;
            }));
        found.histories += n > 0 ? 1 : 0;
        found.violations += n;
    }
    WARN("with the mechanism disabled: " << found.violations << " violations with \"" << words
                                         << "\" in " << found.histories << " histories");
    return found;
}

std::size_t violationsWith(Mutation mutation, const std::string &words)
{
    return findWith(mutation, words).violations;
}

void add(HistoryReport &total, const HistoryReport &report)
{
    total.answers += report.answers;
    total.unknownKeys += report.unknownKeys;
    total.runs += report.runs;
    total.replays += report.replays;
    total.crashes += report.crashes;
    total.rebuilds += report.rebuilds;
    total.voids += report.voids;
    for (const auto &[kind, n] : report.unknownByKind)
        total.unknownByKind[kind] += n;
}

void print(const std::string &name, const HistoryReport &it)
{
    std::string kinds;
    for (const auto &[kind, n] : it.unknownByKind)
        kinds += " " + kind + "=" + std::to_string(n);
    WARN(name << ": answers " << it.answers << ", runs " << it.runs << ", replays " << it.replays
              << ", crashes " << it.crashes << ", rebuilds " << it.rebuilds << ", voids "
              << it.voids << ", key unknown " << it.unknownKeys << ":" << kinds);
}

} // namespace

TEST_CASE("no key runs twice and every reported status is correct in all histories")
{
    Core::configureEventLog(Core::LogFormat::Text, Core::EventLevel::Error);
    std::map<HistoryKind, HistoryReport> totals;
    for (std::uint64_t seed = 0; seed < HistoryCount; ++seed) {
        const auto report = ClaimHistory(seed, Mutation::None).run();
        for (const auto &it : report.violations)
            FAIL_CHECK("seed " << seed << ": " << it);
        add(totals[historyKind(seed)], report);
    }
    print("no faults", totals[HistoryKind::FaultFree]);
    print("faults without crashes", totals[HistoryKind::FaultsWithoutCrashes]);
    print("faults", totals[HistoryKind::Faults]);
    print("faults and early loss of records", totals[HistoryKind::ShortRetention]);
    // The histories must have produced the events that they are meant to test.
    CHECK(totals[HistoryKind::Faults].crashes > HistoryCount / 4);
    CHECK(totals[HistoryKind::Faults].rebuilds > HistoryCount / 100);
    CHECK(totals[HistoryKind::ShortRetention].rebuilds > HistoryCount / 8);
    CHECK(totals[HistoryKind::FaultsWithoutCrashes].voids > HistoryCount / 16);
    CHECK(totals[HistoryKind::FaultFree].replays > HistoryCount / 4);
    // Without faults, only the status of early rejected calls and expired keys is unknown.
    for (const auto &[kind, n] : totals[HistoryKind::FaultFree].unknownByKind)
        CHECK((kind == "overloaded" || kind == "key_expired"));
}

TEST_CASE("a seed plays the same history on every processor")
{
    constexpr std::uint64_t SeedCount = 200;
    Core::configureEventLog(Core::LogFormat::Text, Core::EventLevel::Error);
    std::string text;
    for (std::uint64_t seed = 0; seed < SeedCount; ++seed) {
        const auto report = ClaimHistory(seed, Mutation::None).run();
        for (const auto n : {report.answers, report.unknownKeys, report.runs, report.replays,
                             report.crashes, report.rebuilds, report.voids})
            text += std::to_string(n) + ' ';
    }
    CHECK(Core::hash64(text) == 0x2668a1a1ca6ef0ee);
}

TEST_CASE("if readers ignore other instances' claims, keys run twice")
{
    CHECK(violationsWith(Mutation::IgnoreOtherClaims, " times") > 0);
}

TEST_CASE("with expiring leases instead of permanent claims, a frozen holder runs a key twice")
{
    CHECK(violationsWith(Mutation::LeaseTakeover, " times") > 0);
}

TEST_CASE("if a lost outcome is sent again, keys run twice")
{
    CHECK(violationsWith(Mutation::ResendAfterLoss, " times") > 0);
}

TEST_CASE("if requests are sent without a verdict, keys run twice and refusals are wrong")
{
    CHECK(violationsWith(Mutation::SendWithoutVerdict, " times") > 0);
    CHECK(violationsWith(Mutation::SendWithoutVerdict, "attempt was reported as not run") > 0);
}

TEST_CASE("if a late claim is sent, the earlier refusal is wrong")
{
    CHECK(violationsWith(Mutation::SendLateClaim, "attempt was reported as not run") > 0);
}

TEST_CASE("without voids, a key that was never sent remains held")
{
    CHECK(violationsWith(Mutation::IgnoreVoids, "remains held") > 0);
}

TEST_CASE("if readers do not detect lost records, keys run twice")
{
    CHECK(violationsWith(Mutation::HideGaps, " times") > 0);
}

TEST_CASE(
    "if early rejections or refusals of expired keys report the key as not run, they are wrong")
{
    CHECK(violationsWith(Mutation::EarlyRejectionReportsNotRun, "key was reported as not run") > 0);
    CHECK(violationsWith(Mutation::ExpiryReportsNotRun, "key was reported as not run") > 0);
}

TEST_CASE("without a new origin, a restarted instance treats old claims as its own")
{
    CHECK(findWith(Mutation::ReuseOrigin, " times").histories >= MinMutatedHistories);
}

TEST_CASE("without the request's digest, a caller receives the answer of another request")
{
    CHECK(violationsWith(Mutation::IgnoreDigest, "belongs to another request") > 0);
}
